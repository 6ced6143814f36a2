//! Admission of work to one backend server: slots, queue and refusal.

mod offer;
mod queue;
mod service_time;

pub use offer::{Offer, Refusal};
pub use queue::{Admission, AdmissionLimits, Urgency};
pub use service_time::ServiceTime;
