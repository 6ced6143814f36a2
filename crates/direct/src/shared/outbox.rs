//! Messages that wait to be sent to other entries at once.

use clementine_decide::peers::{Sighting, TableChanges};
use clementine_decide::quarantine::CrashReport;

use super::BoundedQueue;

/// A message that is sent at once instead of with the next status message.
#[derive(Debug)]
pub(crate) enum UrgentMessage {
    /// Changes of a store table, for the neighbors.
    Changes(TableChanges),
    /// Condition of a backend server, for all entries.
    Sighting(Sighting),
    /// What is known of a suspect, for all entries.
    Crashes(CrashReport),
}

/// Messages that wait to be sent.
pub(crate) type Outbox = BoundedQueue<UrgentMessage>;
