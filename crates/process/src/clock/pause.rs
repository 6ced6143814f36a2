//! Detects that the process did not run for some time.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::ids::Tick;
use clementine_objects::Millis;
use spdlog::warn;
use tokio::time::sleep;

use super::Clock;

/// Interval at which the process records that it runs.
const INTERVAL: Duration = Duration::from_millis(50);

/// Time between two such records from which on the process was paused. Well above the
/// delays of a busy process.
const MIN_PAUSE: Millis = Millis(250);

/// Time after a pause in which messages are read that arrived during it.
const READ_PERIOD: Millis = Millis(100);

/// Detects pauses of the process: a stopped or suspended process, a machine without
/// free processors, or a task that blocks its thread.
///
/// A message that is read after a pause may have waited in its socket since the pause
/// began, and the system doesn't tell for how long. A deadline in it that is relative
/// to its arrival must be reduced by [`PauseWatch::max_wait`].
#[derive(Debug, Clone)]
pub struct PauseWatch {
    clock: Clock,
    state: Rc<State>,
}

#[derive(Debug)]
struct State {
    last_seen: Cell<Tick>,
    /// End and length of the last pause.
    last_pause: Cell<Option<(Tick, Millis)>>,
}

impl PauseWatch {
    /// Starts to watch; [`PauseWatch::run`] has to run from now on.
    pub fn new(clock: Clock) -> Self {
        let state = State { last_seen: Cell::new(clock.now()), last_pause: Cell::new(None) };
        Self { clock, state: Rc::new(state) }
    }

    /// Records that the process runs, until the process exits.
    pub async fn run(self) {
        loop {
            self.observe(self.clock.now());
            sleep(INTERVAL).await;
        }
    }

    /// Longest time for which a message that was read just now may have waited because
    /// of a pause; zero if there was none recently.
    pub fn max_wait(&self) -> Millis {
        let now = self.clock.now();
        self.observe(now);
        let recent = self.state.last_pause.get().filter(|(end, _)| now.since(*end) <= READ_PERIOD);
        recent.map_or(Millis(0), |(_, length)| length)
    }

    fn observe(&self, now: Tick) {
        let unseen = now.since(self.state.last_seen.replace(now));
        if unseen >= MIN_PAUSE {
            warn!("process: did not run for {} ms", unseen.0);
            self.state.last_pause.set(Some((now, unseen)));
        }
    }
}
