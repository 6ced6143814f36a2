//! Bounded queue between two tasks of the process.

use std::cell::RefCell;
use std::collections::VecDeque;

use tokio::sync::Notify;

/// Maximum number of waiting items.
const CAPACITY: usize = 64;

/// Queue for one reader. Items that do not fit are dropped: everything that is
/// sent through it is also found out in another way.
///
/// Invariant: holds at most [`CAPACITY`] items.
#[derive(Debug)]
pub(crate) struct BoundedQueue<T> {
    items: RefCell<VecDeque<T>>,
    wakeup: Notify,
}

impl<T> Default for BoundedQueue<T> {
    fn default() -> Self {
        Self { items: RefCell::default(), wakeup: Notify::new() }
    }
}

impl<T> BoundedQueue<T> {
    /// Adds an item if there is room.
    pub(crate) fn push(&self, item: T) {
        let mut items = self.items.borrow_mut();
        if items.len() < CAPACITY {
            items.push_back(item);
            self.wakeup.notify_one();
        }
    }

    /// Waits for the next item.
    pub(crate) async fn next(&self) -> T {
        loop {
            let next = self.items.borrow_mut().pop_front();
            match next {
                Some(item) => return item,
                None => self.wakeup.notified().await,
            }
        }
    }
}
