//! The platform's list of instances.

mod endpoint_slices;
mod listed;

pub use endpoint_slices::EndpointSlices;
pub use listed::{InstanceList, InstanceState, ListedInstance};
