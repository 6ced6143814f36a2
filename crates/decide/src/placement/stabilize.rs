//! Delay of the first placement until the list of engines is complete.

use clementine_objects::Millis;

use super::LayerHost;
use crate::ids::Tick;

/// Time without new engines after which the list is considered complete. The
/// platform lists engines in small batches with pauses between them.
const QUIET_PERIOD: Millis = Millis(1_200);
/// Maximum time to wait for the list to be complete.
const MAX_WAIT: Millis = Millis(6_000);

/// Delays the placement while the loaded layers do not cover the model and
/// engines are still being listed. A placement made for the first few engines
/// would spread one copy of the model over several failure domains.
#[derive(Debug, Default)]
pub struct ListStabilizer {
    engine_count: usize,
    grown_at: Tick,
    waiting_since: Option<Tick>,
}

impl ListStabilizer {
    /// Whether the placement can be computed now.
    pub fn is_stable(&mut self, layers: u32, hosts: &[LayerHost], now: Tick) -> bool {
        if hosts.len() > self.engine_count {
            self.grown_at = now;
        }
        self.engine_count = hosts.len();
        let is_covered =
            |layer| hosts.iter().any(|host| host.layers.is_some_and(|held| held.contains(layer)));
        if (0..layers).all(is_covered) {
            self.waiting_since = None;
            return true;
        }
        let since = *self.waiting_since.get_or_insert(now);
        now.since(self.grown_at) >= QUIET_PERIOD || now.since(since) >= MAX_WAIT
    }
}
