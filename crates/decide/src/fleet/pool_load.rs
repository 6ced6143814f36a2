//! Load of a pool, from which the expected time until capacity is available is
//! computed.

use clementine_objects::Millis;

use super::{Fleet, Member};
use crate::admission::{PoolLoad, ReturningSlots};
use crate::ids::{PoolId, Tick};

impl Fleet {
    /// Load of a pool that a number of entries use. `load_time` is the time to load
    /// the model's layers, for pools that serve a model: an engine without layers is
    /// expected to have them after this time at the latest.
    pub fn pool_load(
        &self,
        pool: &PoolId,
        load_time: Option<Millis>,
        entries: usize,
        now: Tick,
    ) -> PoolLoad {
        let mut load =
            PoolLoad { entries: u32::try_from(entries).unwrap_or(u32::MAX), ..PoolLoad::default() };
        for member in self.pool(pool) {
            load.in_flight_elsewhere += member.remote_in_flight;
            let Some(after) = accepts_in(member, load_time, now) else { continue };
            if after.0 > 0 {
                let slots = returning_slots(member, now);
                load.returning.push(ReturningSlots { after, slots });
                continue;
            }
            load.used += member.in_flight + member.remote_in_flight;
            load.slots += member.backend.slots;
        }
        load.returning.sort_by_key(|returning| returning.after);
        load
    }
}

/// Time until a server accepts requests, or `None` if that is not known.
fn accepts_in(member: &Member, load_time: Option<Millis>, now: Tick) -> Option<Millis> {
    let accepts = member.accepts_in(now)?;
    match load_time.filter(|_| member.backend.layers.is_none()) {
        Some(load_time) => Some(accepts.max(load_time)),
        None => Some(accepts),
    }
}

/// Slots that a server brings back. One that names a limit gets one request at a
/// time.
fn returning_slots(member: &Member, now: Tick) -> f64 {
    if !member.signals.may_send(now) {
        return 1.0;
    }
    let running = member.in_flight + member.remote_in_flight;
    f64::from(member.backend.slots.saturating_sub(running))
}
