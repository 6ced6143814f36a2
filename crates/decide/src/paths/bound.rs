//! Bound of the loss that one engine may cause.

use std::fmt;

use clementine_objects::Millis;

use super::PathCandidate;
use crate::fleet::EngineSpec;
use crate::ids::BackendId;

/// Time until the loss of an engine is found: 80 to 160 ms of silence.
const DETECTION: Millis = Millis(100);

/// Bound of the loss that one engine may cause (blast radius): if the engine is lost,
/// the other engines that hold its layers can prefill the contexts of its runs again
/// within this time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LossBound {
    max_repair: Millis,
}

impl LossBound {
    /// The bound by which the pause after a loss stays within the gap that callers
    /// accept. `None` if the loss is not found within the gap.
    pub const fn for_gap(gap: Millis) -> Option<Self> {
        match gap.0.checked_sub(DETECTION.0) {
            None | Some(0) => None,
            Some(left) => Some(Self { max_repair: Millis(left) }),
        }
    }

    /// Longest time for the prefills after the loss of an engine.
    pub const fn max_repair(self) -> Millis {
        self.max_repair
    }

    /// The strictest relaxation that allows a repair time.
    pub fn relaxation_for(self, repair_ms: f64) -> Relaxation {
        let allows = |relaxation: &Relaxation| self.allows(*relaxation, repair_ms);
        Relaxation::ALL.into_iter().find(allows).unwrap_or(Relaxation::Unbounded)
    }

    fn allows(self, relaxation: Relaxation, repair_ms: f64) -> bool {
        repair_ms <= self.max_repair.0 as f64 * relaxation.factor()
    }

    /// Whether a path may use an engine. One that is the only holder of a layer can't
    /// be replaced at any load, so that its use gains nothing from a bound.
    pub(super) fn admits(self, relaxation: Relaxation, repair_ms: f64) -> bool {
        repair_ms.is_infinite() || self.allows(relaxation, repair_ms)
    }
}

/// Relaxation of the bound while no path is within it: capacity takes precedence over
/// spreading.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Relaxation {
    /// The bound holds.
    Within,
    /// Twice the time.
    Double,
    /// Four times the time.
    Quadruple,
    /// Any time.
    Unbounded,
}

impl Relaxation {
    /// All steps, the strictest first.
    pub const ALL: [Self; 4] = [Self::Within, Self::Double, Self::Quadruple, Self::Unbounded];

    const fn factor(self) -> f64 {
        match self {
            Self::Within => 1.0,
            Self::Double => 2.0,
            Self::Quadruple => 4.0,
            Self::Unbounded => f64::INFINITY,
        }
    }

    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Within => "1x",
            Self::Double => "2x",
            Self::Quadruple => "4x",
            Self::Unbounded => "none",
        }
    }
}

impl fmt::Display for Relaxation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// An engine of a path that is beyond the loss bound.
#[derive(Debug, Clone, PartialEq)]
pub struct BoundExcess {
    /// The engine whose loss takes the longest to repair.
    pub engine: BackendId,
    /// Expected time of the prefills after its loss, in ms; infinite if it is the
    /// only holder of a layer.
    pub repair_ms: f64,
    /// The bound.
    pub bound: LossBound,
}

impl BoundExcess {
    /// The relaxation by which the engine was admitted.
    pub fn relaxation(&self) -> Relaxation {
        self.bound.relaxation_for(self.repair_ms)
    }
}

/// Expected time in ms for the other candidates to prefill the context of each
/// candidate's runs, with `added_tokens` more, after its loss; infinite for the only
/// holder of a layer.
///
/// Each engine is assumed to divide its prefill speed evenly among its layers and to
/// serve in proportion to its free KV cache. The time is that of the layer with the
/// lowest speed left.
pub(super) fn repair_times(
    spec: &EngineSpec,
    candidates: &[PathCandidate],
    added_tokens: f64,
) -> Vec<f64> {
    let mut speeds = vec![(0.0, 0_u32); spec.layers as usize];
    for candidate in candidates {
        let speed = layer_speed(spec, candidate);
        for (sum, holders) in held(&mut speeds, candidate) {
            *sum += speed;
            *holders += 1;
        }
    }
    let repair_ms = |candidate: &PathCandidate| {
        let own = layer_speed(spec, candidate);
        let left = held(&mut speeds, candidate).iter().map(|(sum, holders)| match holders {
            1 => 0.0,
            _ => (sum - own).max(0.0),
        });
        (candidate.used_tokens + added_tokens) / left.fold(f64::INFINITY, f64::min)
    };
    candidates.iter().map(repair_ms).collect()
}

/// Tokens per ms that an engine can prefill in each of its layers.
fn layer_speed(spec: &EngineSpec, candidate: &PathCandidate) -> f64 {
    let held = spec.model_fraction(candidate.layers.count());
    let free = 1.0 - candidate.used_tokens / candidate.capacity_tokens.max(1.0);
    free.max(0.0) / (candidate.prefill_ms_per_token * held)
}

/// The layers of a candidate in a table of all layers.
pub(super) fn held<'a, T>(layers: &'a mut [T], candidate: &PathCandidate) -> &'a mut [T] {
    let end = layers.len().min(candidate.layers.end() as usize);
    let first = end.min(candidate.layers.first() as usize);
    &mut layers[first..end]
}
