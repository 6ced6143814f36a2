//! Overload control: how long requests wait for capacity, and the retry delay
//! of refused requests.

mod refusal_rate;

pub use refusal_rate::{CAPACITY_POLL_INTERVAL, RefusalRate, max_capacity_wait};
