//! Queues of the requests that wait for capacity, one for each pool.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::admission::{PoolLoad, PoolQueue};
use clementine_decide::ids::{PoolId, Tick};
use clementine_objects::Millis;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::SharedState;

/// Queue of a pool. A waiting request is notified when it should try again or has to
/// leave the queue.
pub(super) type WaitQueue = PoolQueue<Rc<Notify>>;

#[derive(Debug, Default)]
struct PoolEntry {
    queue: WaitQueue,
    /// When the next server is expected to accept requests again, if a timer is set
    /// for that.
    timer_at: Option<Tick>,
}

/// Queues of all pools.
///
/// Invariant: holds pools to which requests were sent under the configuration in
/// force, and others only while they are in use.
pub(crate) struct PoolQueues {
    pools: RefCell<HashMap<PoolId, PoolEntry>>,
    /// Number of entries that served requests when others were last heard.
    known_entries: RefCell<usize>,
}

impl Default for PoolQueues {
    fn default() -> Self {
        Self { pools: RefCell::default(), known_entries: RefCell::new(1) }
    }
}

impl std::fmt::Debug for PoolQueues {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PoolQueues").field("pools", &self.pools).finish_non_exhaustive()
    }
}

impl PoolQueues {
    /// Uses the queue of a pool, which is created if there is none.
    pub(super) fn with<R>(&self, pool: &PoolId, act: impl FnOnce(&mut WaitQueue) -> R) -> R {
        let mut pools = self.pools.borrow_mut();
        match pools.get_mut(pool) {
            Some(entry) => act(&mut entry.queue),
            None => act(&mut pools.entry(pool.clone()).or_default().queue),
        }
    }

    /// Whether requests wait for the pool.
    pub(super) fn has_waiting(&self, pool: &PoolId) -> bool {
        self.pools.borrow().get(pool).is_some_and(|entry| !entry.queue.is_empty())
    }

    /// Wakes the next request that should try, if there is one.
    pub(super) fn wake_next(&self, pool: &PoolId, now: Tick) {
        if let Some(entry) = self.pools.borrow_mut().get_mut(pool)
            && let Some(next) = entry.queue.next_ready(now)
        {
            next.notify_one();
        }
    }

    fn waiting_pools(&self) -> Vec<PoolId> {
        let pools = self.pools.borrow();
        let waiting = pools.iter().filter(|(_, entry)| !entry.queue.is_empty());
        waiting.map(|(pool, _)| pool.clone()).collect()
    }

    /// Removes the queues of pools that are neither configured nor in use.
    pub(super) fn retain_pools(&self, is_configured: impl Fn(&PoolId) -> bool) {
        self.pools.borrow_mut().retain(|pool, entry| {
            is_configured(pool) || !entry.queue.is_empty() || entry.queue.running() > 0
        });
    }

    /// Sets the timer of a pool. Returns `false` if one is set for an earlier time.
    fn set_timer(&self, pool: &PoolId, at: Tick, now: Tick) -> bool {
        let mut pools = self.pools.borrow_mut();
        let Some(entry) = pools.get_mut(pool) else { return false };
        if entry.timer_at.is_some_and(|set| set >= now && set <= at) {
            return false;
        }
        entry.timer_at = Some(at);
        true
    }

    /// Whether the pool's timer is the one that is set for `at`; clears it.
    fn take_timer(&self, pool: &PoolId, at: Tick) -> bool {
        let mut pools = self.pools.borrow_mut();
        pools.get_mut(pool).and_then(|entry| entry.timer_at.take_if(|set| *set == at)).is_some()
    }

    /// The queues for the state dump.
    pub(super) fn dump(&self, now: Tick) -> Vec<Value> {
        let mut pools = self.pools.borrow_mut();
        let dump = pools.iter_mut().map(|(pool, PoolEntry { queue, .. })| {
            json!({
                "pool": pool,
                "waiting": queue.len(),
                "told_to_return": queue.told_to_return(now),
                "running": queue.running(),
                "service_ms": queue.service_time(),
            })
        });
        dump.collect()
    }
}

impl SharedState {
    /// Offers capacity that has become available in a pool to the requests that wait
    /// for it. Called wherever the capacity grows.
    pub(crate) fn place_freed(&self, pool: &PoolId) {
        if self.queues.has_waiting(pool) {
            self.queues.with(pool, PoolQueue::record_freed);
            self.queues.wake_next(pool, self.now());
        }
    }

    /// Offers capacity that has become available in any pool.
    pub(crate) fn places_freed(&self) {
        for pool in self.queues.waiting_pools() {
            self.place_freed(&pool);
        }
    }

    /// Records the time from the start of an attempt to its first event or response.
    pub(crate) fn record_first_response(&self, pool: &PoolId, duration: Duration) {
        self.queues.with(pool, |queue| queue.record_first_response(duration.into()));
    }

    /// Load of a pool.
    pub(super) fn pool_load(&self, pool: &PoolId) -> PoolLoad {
        let table = self.routing_table();
        let engine = table.and_then(|table| table.pools.get(pool)?.engine.clone());
        let engine = engine.filter(|engine| engine.layers > 0);
        let entries = self.known_entries();
        self.fleet.borrow().pool_load(pool, engine.as_deref(), entries, self.now())
    }

    /// Number of entries that serve requests. While no other one is heard, the last
    /// known number is used.
    fn known_entries(&self) -> usize {
        let peers = self.peers.borrow();
        if peers.live_count() > 1 {
            self.queues.known_entries.replace(peers.serving_count());
        }
        *self.queues.known_entries.borrow()
    }

    /// Sets a timer for the time at which the next server of the pool accepts
    /// requests again, because nothing else tells that.
    pub(super) fn arm_pool_timer(self: &Rc<Self>, pool: &PoolId, load: &PoolLoad) {
        let Some(next) = load.returning.first() else { return };
        let (now, after) = (self.now(), next.after.max(Millis(1)));
        let at = now.after(after);
        if !self.queues.set_timer(pool, at, now) {
            return;
        }
        let (shared, pool) = (Rc::clone(self), pool.clone());
        spawn_local(async move {
            sleep(after.duration()).await;
            if shared.queues.take_timer(&pool, at) {
                shared.place_freed(&pool);
                if shared.queues.has_waiting(&pool) {
                    shared.arm_pool_timer(&pool, &shared.pool_load(&pool));
                }
            }
        });
    }
}
