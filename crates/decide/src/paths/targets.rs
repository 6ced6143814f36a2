//! Check of a path against the targets of its route.

use clementine_objects::Millis;

use super::cost::EVENT_TOKENS;
use super::queue::{Queues, step_ms};
use super::{PathCandidate, PathSearch, PathStage};

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

impl PathSearch<'_> {
    /// Whether a path is expected to meet the targets.
    pub(super) fn meets_targets(&self, path: &[PathStage]) -> bool {
        let times = self.path_times(path);
        let is_met = |target: Option<Millis>, ms: f64| {
            target.is_none_or(|target| ms <= target.0 as f64 * TARGET_USE)
        };
        is_met(self.targets.first_event, times.first_event + EVENT_TOKENS * times.token)
            && is_met(self.targets.gap, EVENT_TOKENS * times.token)
            && is_met(
                self.targets.time_left,
                times.first_event + self.demand.output_tokens * times.token,
            )
    }

    fn path_times(&self, path: &[PathStage]) -> PathTimes {
        let queues = Queues::new(self.spec, self.candidates);
        let mut times = PathTimes::default();
        let mut previous: Option<&PathCandidate> = None;
        for stage in path {
            let Some(engine) = self.candidate(stage) else { continue };
            let fraction = self.spec.model_fraction(stage.layers.count());
            let wait = queues.wait_ms(engine);
            times.first_event += engine.prefill_backlog_ms + wait;
            times.first_event += self.prefill_ms(engine, stage.layers.count());
            times.first_event -= self.saved_ms(engine, stage.layers);
            times.token += step_ms(engine) * fraction + wait;
            if let Some(previous) = previous {
                times.token += self.delay_ms(&previous.domain, &engine.domain);
                if previous.domain != engine.domain {
                    times.first_event += self.transfer_ms();
                }
            }
            previous = Some(engine);
        }
        times
    }
}
