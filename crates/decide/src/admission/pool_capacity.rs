//! When capacity of a pool that several entries use becomes available.

use clementine_objects::Millis;

use super::ServiceTime;
use crate::ids::Tick;

/// Time constant of the exponential decay of the number of freed slots.
const FREED_DECAY: Millis = Millis(2_000);
/// Weight of the newest request in the mean number of servers per request.
const SERVERS_EWMA_WEIGHT: f64 = 0.1;
/// Rate below which no slot is expected from the runs in progress: callers do not
/// wait for a minute.
const MIN_SLOTS_PER_MS: f64 = 1.0 / 60_000.0;

/// Slots of servers that are unavailable now and return at a known time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReturningSlots {
    /// Time until they return.
    pub after: Millis,
    /// Number of slots, for all entries together.
    pub slots: f64,
}

/// Load of a pool as an entry sees it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PoolLoad {
    /// Number of entries that serve requests, at least 1.
    pub entries: u32,
    /// Requests of other entries, counted once at each server of their path.
    pub in_flight_elsewhere: u32,
    /// Requests of all entries on the usable servers.
    pub used: u32,
    /// Slots of the usable servers.
    pub slots: u32,
    /// Slots that return at a known time, in ascending order of the time.
    pub returning: Vec<ReturningSlots>,
}

impl PoolLoad {
    /// Whether under half of the slots are in use.
    pub const fn is_half_free(&self) -> bool {
        (self.used as u64) * 2 < self.slots as u64
    }
}

/// What an entry has observed of the requests that it sent to a pool.
///
/// The rate at which slots become free is estimated in two ways: from the runs in
/// progress and their mean service time, which is too high just after a burst has
/// started, and from the slots freed recently, which is too low just after an idle
/// time. Their mean is used.
#[derive(Debug, Clone, Default)]
pub(super) struct PoolCapacity {
    service_time: ServiceTime,
    /// Time from the start of an attempt to its first event or response.
    first_response: ServiceTime,
    /// Runs of this entry in progress.
    running: u32,
    /// Mean number of servers of a request; `None` before the first one.
    servers_per_request: Option<f64>,
    /// Number of served runs of this entry that ended, with exponential decay.
    freed: f64,
    freed_at: Tick,
}

impl PoolCapacity {
    pub(super) fn record_start(&mut self, servers: usize) {
        self.running += 1;
        let servers = servers.max(1) as f64;
        let mean = self.servers_per_request.unwrap_or(servers);
        self.servers_per_request = Some(mean + SERVERS_EWMA_WEIGHT * (servers - mean));
    }

    pub(super) fn record_end(&mut self, duration: Option<Millis>, now: Tick) {
        self.running = self.running.saturating_sub(1);
        let Some(duration) = duration else { return };
        self.service_time.observe(duration);
        self.freed = self.freed_by(now) + 1.0;
        self.freed_at = now;
    }

    pub(super) fn record_first_response(&mut self, duration: Millis) {
        self.first_response.observe(duration);
    }

    /// Usual time from the start of an attempt to its first response; zero before
    /// the first one.
    pub(super) fn first_response(&self) -> Millis {
        self.first_response.mean()
    }

    pub(super) const fn running(&self) -> u32 {
        self.running
    }

    pub(super) fn service_time(&self) -> Option<Millis> {
        self.service_time.is_known().then(|| self.service_time.mean())
    }

    /// Whether the runs in progress tell nothing about a pool in which servers are
    /// available.
    pub(super) const fn is_rate_unknown(&self, load: &PoolLoad) -> bool {
        !self.service_time.is_known() && load.slots > 0
    }

    /// Expected time until `slots` slots of the pool have become free, whichever
    /// entry uses them. `None` if nothing is known.
    pub(super) fn time_until(&self, slots: f64, load: &PoolLoad, now: Tick) -> Option<Millis> {
        let rate = self.slots_per_ms(load, now);
        let by_rate = |slots: f64| {
            (rate >= MIN_SLOTS_PER_MS).then(|| Millis((slots.max(0.0) / rate).ceil() as u64))
        };
        let mut returned = 0.0;
        for returning in &load.returning {
            let earlier = by_rate(slots - returned).filter(|time| *time <= returning.after);
            if earlier.is_some() {
                return earlier;
            }
            returned += returning.slots / self.servers_per_request();
            if returned + rate * returning.after.0 as f64 >= slots {
                return Some(returning.after);
            }
        }
        by_rate(slots - returned)
    }

    /// Rate at which slots of the pool become free, for all entries together.
    fn slots_per_ms(&self, load: &PoolLoad, now: Tick) -> f64 {
        let Some(service_time) = self.service_time() else { return 0.0 };
        if load.slots == 0 {
            return 0.0;
        }
        let elsewhere = f64::from(load.in_flight_elsewhere) / self.servers_per_request();
        let running = f64::from(self.running) + elsewhere;
        let expected = running / service_time.0.max(1) as f64;
        // The other entries are assumed to free slots at the same rate per run.
        let own_share = if running > 0.0 { f64::from(self.running) / running } else { 1.0 };
        let observed = self.freed_by(now) / FREED_DECAY.0 as f64;
        if own_share > 0.0 { expected.midpoint(observed / own_share) } else { expected }
    }

    fn servers_per_request(&self) -> f64 {
        self.servers_per_request.unwrap_or(1.0)
    }

    fn freed_by(&self, now: Tick) -> f64 {
        let elapsed = now.since(self.freed_at).0 as f64 / FREED_DECAY.0 as f64;
        self.freed * (-elapsed).exp()
    }
}
