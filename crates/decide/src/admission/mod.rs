//! Admission control for one backend server: concurrency slots, a bounded
//! queue and refusal.

mod decision;
mod queue;
mod service_time;

pub use decision::{AdmissionDecision, Refusal};
pub use queue::{AdmissionLimits, AdmissionQueue, Urgency};
pub use service_time::ServiceTime;
