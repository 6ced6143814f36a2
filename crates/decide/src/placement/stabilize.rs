//! When to plan while engines are still being listed.

use clementine_objects::Millis;

use super::LayerHost;
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
pub struct ListStabilizer {
    engines: usize,
    changed_at: Tick,
    waiting_since: Option<Tick>,
}

impl ListStabilizer {
    /// Whether to plan now.
    pub fn is_stable(&mut self, layers: u32, hosts: &[LayerHost], now: Tick) -> bool {
        if hosts.len() > self.engines {
            self.changed_at = now;
        }
        self.engines = hosts.len();
        if (0..layers)
            .all(|layer| hosts.iter().any(|h| h.layers.is_some_and(|r| r.contains(layer))))
        {
            self.waiting_since = None;
            return true;
        }
        let since = *self.waiting_since.get_or_insert(now);
        now.since(self.changed_at) >= QUIET || now.since(since) >= LONGEST_WAIT
    }
}
