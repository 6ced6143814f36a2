//! Overload control: how long requests wait for capacity, and the retry delay
//! of refused requests.

mod refusal_rate;

pub use refusal_rate::{RefusalRate, max_capacity_wait};
