//! Identifiers and value types used by declared objects.

mod change_id;
mod millis;
mod names;
mod revision;

pub use change_id::ChangeId;
pub use millis::{Millis, MillisError};
pub use names::{ModelName, NameError, PoolName, PriorityName, RouteName, WorkspaceName};
pub use revision::Revision;
