//! A whole system on loopback.

mod backend;
mod plan;
mod system;

pub use backend::Backend;
pub use plan::HubPlan;
pub use system::{EntryProcess, Hub, TOKEN};
