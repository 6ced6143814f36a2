//! How long requests wait for room and when refused ones may come back.

mod refusal_rate;

pub use refusal_rate::{CAPACITY_POLL_INTERVAL, RefusalRate, max_capacity_wait};
