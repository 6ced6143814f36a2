//! Which engines a request passes through.

mod choose;
mod links;
mod shortage;
mod stop;

pub use choose::{PathSearch, link_bytes};
pub use links::{Link, LinkUse};
pub use shortage::{Shortage, shortages};
pub use stop::{Demand, Leg, Stop};
