//! What the parts of the process share.

mod dump;
mod followed;
mod job;
mod meters;
mod reservation;
mod retries;
mod state;
mod store;

pub(crate) use followed::Followed;
pub(crate) use job::Job;
pub(crate) use meters::Meters;
pub(crate) use reservation::Reservation;
pub(crate) use retries::{Retries, RetryFor};
pub(crate) use state::Hub;
pub(crate) use store::BoundedStore;
