//! Check of a path against the targets of its route.

use clementine_objects::Millis;

use super::PathCandidate;
use super::cost::EVENT_TOKENS;
use super::queue::step_ms;
use super::space::{SearchSpace, Stage};

/// Fraction of a target that the expected time may take. The rest is for load that
/// the views do not show yet.
const TARGET_USE: f64 = 0.5;

/// Expected times of a request on a path, in ms.
#[derive(Debug, Clone, Copy, Default)]
struct PathTimes {
    /// Time to the first event.
    first_event: f64,
    /// Time of one token.
    token: f64,
}

impl SearchSpace<'_> {
    /// Whether a path is expected to meet the targets.
    pub(super) fn meets_targets(&self, path: &[Stage]) -> bool {
        let times = self.path_times(path);
        let is_met = |target: Option<Millis>, ms: f64| {
            target.is_none_or(|target| ms <= target.0 as f64 * TARGET_USE)
        };
        is_met(self.search.targets.first_event, times.first_event + EVENT_TOKENS * times.token)
            && is_met(self.search.targets.gap, EVENT_TOKENS * times.token)
            && is_met(
                self.search.targets.time_left,
                times.first_event + self.search.demand.output_tokens * times.token,
            )
    }

    fn path_times(&self, path: &[Stage]) -> PathTimes {
        let search = self.search;
        let mut times = PathTimes::default();
        let mut previous: Option<&PathCandidate> = None;
        for &(index, layers) in path {
            let engine = &search.candidates[index];
            let fraction = search.spec.model_fraction(layers.count());
            let wait = self.waits_ms[index];
            times.first_event += engine.prefill_backlog_ms + wait;
            times.first_event += search.prefill_ms(engine, layers.count());
            times.first_event -= search.saved_ms(engine, layers);
            times.token += step_ms(engine) * fraction + wait;
            if let Some(previous) = previous {
                times.token += search.delay_ms(&previous.domain, &engine.domain);
                if previous.domain != engine.domain {
                    times.first_event += search.transfer_ms();
                }
            }
            previous = Some(engine);
        }
        times
    }
}
