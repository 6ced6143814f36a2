//! Choice of the engines through which a request is routed.

mod bottleneck;
mod candidate;
mod links;
mod search;

pub use bottleneck::{Bottleneck, bottlenecks};
pub use candidate::{Demand, PathCandidate, PathStage};
pub use links::{Link, LinkUsage};
pub use search::{PathSearch, transfer_bytes};
