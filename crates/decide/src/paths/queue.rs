//! Expected queueing at the engines.

use super::PathCandidate;
use crate::fleet::EngineSpec;

/// Expected wait at a stage for the current batch step to finish, as a fraction
/// of a step.
const STEP_WAIT: f64 = 0.5;
/// Upper bound of the fraction of its time that an engine is assumed to spend on
/// prefills. The wait grows without limit towards 1.
const MAX_PREFILL_SHARE: f64 = 0.9;

/// Time of a decode step over all layers of the model with the wait for the step
/// before, in ms.
pub(super) fn step_ms(candidate: &PathCandidate) -> f64 {
    candidate.step_ms * (1.0 + STEP_WAIT)
}

/// Expected queueing at engines, each of which does one prefill after another.
///
/// The rate of prompts is derived from the number of requests that run on an engine,
/// which all entries report, and from their mean duration. An entry's own arrivals
/// at one engine are too few for an estimate.
#[derive(Debug, Clone, Copy)]
pub(super) struct Queues<'a> {
    spec: &'a EngineSpec,
    /// Mean duration of a typical request on the engines that are in use, in ms.
    duration_ms: f64,
}

impl<'a> Queues<'a> {
    pub(super) fn new(spec: &'a EngineSpec, candidates: &[PathCandidate]) -> Self {
        // Layers that run at present, and the time of one step in all of them.
        let mut sums = (0.0, 0.0);
        for candidate in candidates {
            let running = candidate.running * f64::from(candidate.layers.count());
            sums.0 += running;
            sums.1 += running * step_ms(candidate);
        }
        let step = if sums.0 > 0.0 { sums.1 / sums.0 } else { f64::INFINITY };
        Self { spec, duration_ms: step * f64::from(spec.typical_output_tokens) }
    }

    /// Expected wait for the prefills of other requests, in ms.
    pub(super) fn wait_ms(&self, candidate: &PathCandidate) -> f64 {
        let prompt = f64::from(self.spec.typical_prompt_tokens);
        let fraction = self.spec.model_fraction(candidate.layers.count());
        let prefill = prompt * candidate.prefill_ms_per_token * fraction;
        let share = (candidate.running * prefill / self.duration_ms).min(MAX_PREFILL_SHARE);
        share * prefill / (2.0 * (1.0 - share))
    }
}
