//! An attempt in the accounting of its pool's service time.

use clementine_decide::ids::PoolId;
use clementine_objects::Millis;
use tokio::time::Instant;

use super::SharedState;

/// An attempt that uses a slot of a pool until it is dropped.
#[derive(Debug)]
pub(crate) struct PoolRun<'a> {
    shared: &'a SharedState,
    pool: &'a PoolId,
    started: Instant,
    served: bool,
}

impl<'a> PoolRun<'a> {
    /// Begins an attempt on a number of servers.
    pub(crate) fn start(shared: &'a SharedState, pool: &'a PoolId, servers: usize) -> Self {
        shared.queues.with(pool, |queue| queue.record_start(servers));
        Self { shared, pool, started: Instant::now(), served: false }
    }

    /// Records that the request was served. Only such attempts count for the service
    /// time: others end early.
    pub(crate) const fn set_served(&mut self) {
        self.served = true;
    }
}

impl Drop for PoolRun<'_> {
    fn drop(&mut self) {
        let duration = self.served.then(|| Millis::from(self.started.elapsed()));
        let now = self.shared.now();
        self.shared.queues.with(self.pool, |queue| queue.record_end(duration, now));
    }
}
