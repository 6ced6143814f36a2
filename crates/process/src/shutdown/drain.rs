//! Tracking of work in progress for a graceful shutdown.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Signals the start of a drain and counts work in progress, so that a shutdown
/// can wait until it has finished. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct Drain {
    shared: Rc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    draining: Cell<bool>,
    in_progress: Cell<usize>,
    started: Notify,
    finished: Notify,
}

/// Counts one piece of work as in progress until dropped.
#[derive(Debug)]
pub struct InProgressGuard {
    shared: Rc<Shared>,
}

impl Drain {
    /// Starts the drain and wakes all waiters.
    pub fn start(&self) {
        self.shared.draining.set(true);
        self.shared.started.notify_waiters();
        self.shared.finished.notify_waiters();
    }

    /// Returns whether the drain has started.
    pub fn is_draining(&self) -> bool {
        self.shared.draining.get()
    }

    /// Returns the number of pieces of work in progress.
    pub fn in_progress(&self) -> usize {
        self.shared.in_progress.get()
    }

    /// Counts a piece of work as in progress until the guard is dropped.
    pub fn track(&self) -> InProgressGuard {
        self.shared.in_progress.set(self.in_progress() + 1);
        InProgressGuard { shared: Rc::clone(&self.shared) }
    }

    /// Waits until the drain has started.
    pub async fn wait_started(&self) {
        while !self.is_draining() {
            self.shared.started.notified().await;
        }
    }

    /// Waits until no work is in progress.
    pub async fn wait_idle(&self) {
        while self.in_progress() > 0 {
            self.shared.finished.notified().await;
        }
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.shared.in_progress.set(self.shared.in_progress.get() - 1);
        self.shared.finished.notify_waiters();
    }
}
