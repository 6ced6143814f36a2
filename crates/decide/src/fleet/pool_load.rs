//! Load of a pool, from which the expected time until capacity is available is
//! computed.

use clementine_objects::Millis;

use super::{EngineSpec, Fleet, Member};
use crate::admission::{PoolLoad, ReturningSlots};
use crate::ids::{PoolId, Tick};

impl Fleet {
    /// Load of a pool that a number of entries use. `engine` is given for pools that
    /// serve a model.
    pub fn pool_load(
        &self,
        pool: &PoolId,
        engine: Option<&EngineSpec>,
        entries: usize,
        now: Tick,
    ) -> PoolLoad {
        let mut load =
            PoolLoad { entries: u32::try_from(entries).unwrap_or(u32::MAX), ..PoolLoad::default() };
        for member in self.pool(pool) {
            load.in_flight_elsewhere += member.remote_in_flight;
            let Some(after) = accepts_in(member, engine, now) else { continue };
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

/// Time until a server accepts requests, or `None` if that is not known. An engine
/// without layers is expected to load some when it starts, and counts as a spare after
/// the time that this takes.
fn accepts_in(member: &Member, engine: Option<&EngineSpec>, now: Tick) -> Option<Millis> {
    let accepts = member.accepts_in(now)?;
    let Some(engine) = engine.filter(|_| member.backend.layers.is_none()) else {
        return Some(accepts);
    };
    let accelerator = engine.accelerator(member.backend.accelerator.as_ref()?)?;
    let loaded_at = member.listed_at.after(engine.max_load_time(accelerator));
    (loaded_at > now).then(|| accepts.max(loaded_at.since(now)))
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
