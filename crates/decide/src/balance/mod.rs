//! Load balancing: selects a backend server for a request.

mod candidate;
mod choose;
mod health;
mod subset;

pub use candidate::{Candidate, LoadReport};
pub(crate) use choose::expected_delay_us;
pub use choose::{Exclusions, choose};
pub use health::{PassiveHealth, PassiveHealthLimits};
pub use subset::choose_subset;
