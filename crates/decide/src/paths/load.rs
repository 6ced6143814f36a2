//! Load that a path puts on engines and links.

use super::cost::transfer_bytes;
use super::{Link, PathCandidate, PathPurpose, PathSearch, PathStage};
use crate::ids::BackendId;

/// Load that a path puts on engines and links when its request is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct PathLoad {
    /// Prefill work of the engines that do not have the request's context.
    pub prefills: Vec<PrefillWork>,
    /// Hops between failure domains.
    pub crossings: Vec<Crossing>,
}

/// Prefill work that a path gives to an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct PrefillWork {
    /// Id of the engine.
    pub id: BackendId,
    /// Time in ms that the engine needs, for this request and, if it is a repair,
    /// for those that the other entries are expected to send at the same moment.
    pub ms: f64,
}

/// A hop between failure domains.
#[derive(Debug, Clone, PartialEq)]
pub struct Crossing {
    /// The link.
    pub link: Link,
    /// Activations of the request.
    pub bytes: f64,
    /// Time in ms for which the contexts of this repair, and of those that the other
    /// entries are expected to send at the same moment, occupy the link; 0 if the
    /// request is new or if the hop only carries new tokens.
    pub repair_ms: f64,
}

impl PathSearch<'_> {
    /// Load of a path that the search has found.
    pub fn path_load(&self, path: &[PathStage]) -> PathLoad {
        let hops = path.windows(2).filter_map(|hop| self.crossing(&hop[0], &hop[1]));
        PathLoad {
            crossings: hops.collect(),
            prefills: path.iter().filter_map(|stage| self.stage_prefill(stage)).collect(),
        }
    }

    fn stage_prefill(&self, stage: &PathStage) -> Option<PrefillWork> {
        if self.current_path.contains(stage) {
            return None;
        }
        let load = match self.purpose {
            PathPurpose::NewRequest => 1.0,
            PathPurpose::Repair => self.repair_load(),
        };
        let candidate = self.candidate(stage)?;
        // The repairs of others have other prompts.
        let ms = load * self.prefill_ms(candidate, stage.layers.count())
            - self.saved_ms(candidate, stage.layers);
        Some(PrefillWork { id: stage.id.clone(), ms })
    }

    fn crossing(&self, from: &PathStage, to: &PathStage) -> Option<Crossing> {
        let (a, b) = (&self.candidate(from)?.domain, &self.candidate(to)?.domain);
        let takes_context = self.purpose == PathPurpose::Repair && !self.current_path.contains(to);
        let repair_ms = self.transfer_ms() * self.repair_load();
        (a != b).then(|| Crossing {
            link: Link::between(a, b),
            bytes: transfer_bytes(self.spec, self.demand),
            repair_ms: if takes_context { repair_ms } else { 0.0 },
        })
    }

    fn candidate(&self, stage: &PathStage) -> Option<&PathCandidate> {
        self.candidates.iter().find(|candidate| candidate.id == stage.id)
    }
}
