//! Messages that are sent to other entries at once instead of with the next status
//! message.

use std::collections::VecDeque;

use super::{Sighting, TableChanges};
use crate::quarantine::CrashReport;
use crate::retry::SlackReport;

/// Maximum number of waiting messages of each kind. Those that do not fit are dropped:
/// what they tell is also found out in another way, but later.
const CAPACITY: usize = 64;

/// A message that is sent at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UrgentMessage {
    /// Changes of a store table, for the neighbors.
    Changes(TableChanges),
    /// Condition of a backend server, for all entries.
    Sighting(Sighting),
    /// What is known of a suspect, for all entries.
    Crashes(CrashReport),
    /// Slack of retry budgets that this entry uses, for a few entries.
    Slack(SlackReport),
}

/// Urgent messages that wait to be sent.
///
/// The loss of two servers can bring hundreds of crash reports in one instant, while the
/// reports that servers are down are few and decide how long requests wait for them.
/// Crash reports therefore have a queue of their own and are sent last.
///
/// Invariant: each queue holds at most [`CAPACITY`] messages.
#[derive(Debug, Default)]
pub struct UrgentMessages {
    crashes: VecDeque<CrashReport>,
    others: VecDeque<UrgentMessage>,
}

impl UrgentMessages {
    /// Adds a message. Returns `false` if it is dropped because there is no room.
    pub fn push(&mut self, message: UrgentMessage) -> bool {
        match message {
            UrgentMessage::Crashes(report) => push_bounded(&mut self.crashes, report),
            message => push_bounded(&mut self.others, message),
        }
    }

    /// Takes the message to send next.
    pub fn pop(&mut self) -> Option<UrgentMessage> {
        let other = self.others.pop_front();
        other.or_else(|| self.crashes.pop_front().map(UrgentMessage::Crashes))
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T) -> bool {
    let has_room = queue.len() < CAPACITY;
    if has_room {
        queue.push_back(item);
    }
    has_room
}
