//! Choice of the engines through which a request is routed.

mod backlog;
mod bound;
mod candidate;
mod cost;
mod links;
mod load;
mod program;
mod queue;
mod search;
mod shortage;
mod space;
mod spread;
mod targets;

pub use backlog::Backlog;
pub use bound::{BoundExcess, LossBound, Relaxation};
pub use candidate::{Demand, PathCandidate, PathPurpose, PathStage, PathTargets};
pub use cost::transfer_bytes;
pub use links::{Link, LinkUsage};
pub use load::{Crossing, PathLoad, PrefillWork};
pub use search::{ChosenPath, PathSearch};
pub use shortage::{ScarceResource, Shortage};
