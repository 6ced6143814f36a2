//! Bound on the memory of bodies, over all connections of a process.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Unit in which memory is counted, in bytes.
const UNIT_BYTES: usize = 1024;
/// Bodies up to this size, in bytes, count as nothing. They need no more than the buffers
/// of their connections.
pub const FREE_BYTES: usize = 16 * 1024;
/// Copies of a body: the one that is kept for retries or was received, and the one that is
/// sent.
const COPIES: usize = 2;
/// Maximum time for which the body of a request waits for memory. Clients give up a request
/// that is not read for a second.
const MAX_WAIT: Duration = Duration::from_millis(700);

/// Memory for the bodies of requests, or of responses, from the first byte that is read until
/// the request has ended. Clones share it.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    units: Arc<Semaphore>,
    /// Initial number of units.
    total: u32,
}

/// A body's part of a [`BodyBudget`], returned when it is dropped.
#[derive(Debug)]
pub struct BodyMemory {
    units: OwnedSemaphorePermit,
}

impl BodyMemory {
    /// Returns what a body of `bytes` bytes does not need.
    pub fn shrink(&mut self, bytes: usize) {
        let excess = self.units.num_permits().saturating_sub(units(bytes) as usize);
        drop(self.units.split(excess));
    }
}

/// Units that a body needs.
fn units(bytes: usize) -> u32 {
    let units = bytes.saturating_mul(COPIES).div_ceil(UNIT_BYTES);
    u32::try_from(units).unwrap_or(u32::MAX)
}

impl BodyBudget {
    /// Creates a budget of a number of bytes.
    pub fn new(bytes: usize) -> Self {
        let total = (bytes / UNIT_BYTES).min(Semaphore::MAX_PERMITS);
        let total = u32::try_from(total).unwrap_or(u32::MAX);
        Self { units: Arc::new(Semaphore::new(total as usize)), total }
    }

    /// Takes the memory for a body of at most `bytes` bytes, and waits for it while other
    /// bodies have it. `None` if it does not become free soon.
    pub(crate) async fn take_soon(&self, bytes: usize) -> Option<BodyMemory> {
        timeout(MAX_WAIT, self.take(bytes)).await.ok()
    }

    /// Takes the memory for a body of at most `bytes` bytes, and waits for it while other
    /// bodies have it. A body that needs more than the whole budget gets all of it.
    ///
    /// # Panics
    ///
    /// Never, since the budget is not closed.
    pub async fn take(&self, bytes: usize) -> BodyMemory {
        let units = units(bytes).min(self.total);
        let taken = Arc::clone(&self.units).acquire_many_owned(units).await;
        BodyMemory { units: taken.expect("the semaphore is never closed") }
    }
}
