//! What the parts of the process share.

mod job;
mod reservation;
mod state;

pub(crate) use job::Job;
pub(crate) use reservation::Reservation;
pub(crate) use state::Hub;
