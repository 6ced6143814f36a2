//! The backend servers that this entry knows.

mod fleet_view;
mod member;
mod read_lanes;
mod watch;

pub(crate) use fleet_view::Fleet;
pub(crate) use member::{Member, Outstanding};
pub(crate) use watch::jittered;
