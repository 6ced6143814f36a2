//! Which engines a request passes through.

mod choose;
mod stop;

pub use choose::cheapest_path;
pub use stop::{Demand, Leg, Stop};
