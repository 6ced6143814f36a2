//! When to plan while engines are still being listed.

use clementine_objects::Millis;

use super::Holder;
use crate::ids::Tick;

/// Time without a new engine after which the list counts as whole. Engines are
/// listed a few at a time, with pauses between.
const QUIET: Millis = Millis(1_200);
/// Longest wait for the list to be whole.
const LONGEST_WAIT: Millis = Millis(6_000);

/// Holds the plan back while nobody holds the model and engines are still
/// being listed: a plan for the first few would spread the model over failure
/// domains.
#[derive(Debug, Default)]
pub struct Settling {
    engines: usize,
    changed_at: Tick,
    waiting_since: Option<Tick>,
}

impl Settling {
    /// Whether to plan now.
    pub fn is_settled(&mut self, layers: u32, holders: &[Holder], now: Tick) -> bool {
        if holders.len() > self.engines {
            self.changed_at = now;
        }
        self.engines = holders.len();
        if (0..layers)
            .all(|layer| holders.iter().any(|h| h.held.is_some_and(|r| r.contains(layer))))
        {
            self.waiting_since = None;
            return true;
        }
        let since = *self.waiting_since.get_or_insert(now);
        now.since(self.changed_at) >= QUIET || now.since(since) >= LONGEST_WAIT
    }
}
