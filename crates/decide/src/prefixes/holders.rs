//! Engines that hold one run of leading parts.

use clementine_objects::Millis;

use super::EngineCache;
use crate::ids::Tick;

/// Maximum number of caches that are recorded for one run of leading parts. Eight
/// paths of eight engines hold a prompt that many requests share.
pub const MAX_HOLDERS_PER_PREFIX: usize = 64;

/// Record of a cache that has, or is about to have, a run of leading parts.
#[derive(Debug, Clone)]
struct Holder {
    cache: EngineCache,
    /// Requests of this entry with these parts that run there.
    running: u32,
    /// When the first of them had been prefilled; `None` before.
    held_since: Option<Tick>,
    /// End of the retention period after the last of them.
    kept_until: Tick,
}

impl Holder {
    fn is_held(&self, now: Tick) -> bool {
        let held = self.held_since.is_some_and(|since| since <= now);
        held && (self.running > 0 || now < self.kept_until)
    }
}

/// Caches with one run of leading parts.
#[derive(Debug, Clone, Default)]
pub(super) struct Holders {
    /// Position of the run in the order of use.
    pub(super) used: u64,
    /// The least recently used cache comes first. Invariant: at most
    /// [`MAX_HOLDERS_PER_PREFIX`].
    holders: Vec<Holder>,
}

impl Holders {
    pub(super) const fn len(&self) -> usize {
        self.holders.len()
    }

    /// The caches that hold the parts.
    pub(super) fn held(&self, now: Tick) -> impl Iterator<Item = &EngineCache> {
        self.holders.iter().filter(move |holder| holder.is_held(now)).map(|holder| &holder.cache)
    }

    fn position(&self, cache: &EngineCache) -> Option<usize> {
        self.holders.iter().position(|holder| holder.cache == *cache)
    }

    /// Records that a request was sent to an engine. Records that have expired, and
    /// the least recently used one beyond the limit, are dropped.
    pub(super) fn begin(&mut self, cache: &EngineCache, now: Tick) {
        let known = self.position(cache).map(|index| self.holders.remove(index));
        let known = known.filter(|holder| holder.running > 0 || holder.is_held(now));
        if known.is_none() {
            self.holders.retain(|holder| holder.running > 0 || holder.is_held(now));
            if self.holders.len() >= MAX_HOLDERS_PER_PREFIX {
                self.holders.remove(0);
            }
        }
        let mut holder = known.unwrap_or_else(|| Holder {
            cache: cache.clone(),
            running: 0,
            held_since: None,
            kept_until: Tick(0),
        });
        holder.running += 1;
        self.holders.push(holder);
    }

    /// Records that an engine has prefilled a request that runs there.
    pub(super) fn set_held(&mut self, cache: &EngineCache, now: Tick) {
        if let Some(index) = self.position(cache) {
            self.holders[index].held_since.get_or_insert(now);
        }
    }

    /// Records that a request no longer runs on an engine, which then keeps the parts
    /// for `retention` if it has prefilled them.
    pub(super) fn end(&mut self, cache: &EngineCache, retention: Millis, now: Tick) {
        let Some(index) = self.position(cache) else { return };
        let holder = &mut self.holders[index];
        holder.running = holder.running.saturating_sub(1);
        holder.kept_until = holder.kept_until.max(now.after(retention));
        if holder.running == 0 && !holder.is_held(now) {
            self.holders.remove(index);
        }
    }
}
