//! What backend servers say in their responses about the requests that they accept.

mod rate;
mod report;
mod response;
mod server;
mod sharing;

pub use rate::{InvalidRateError, RequestRate};
pub use report::{LimitReport, SignalReport};
pub use response::{ResponseSignals, Signal};
pub use server::{ResponseSource, ServerSignals};
pub use sharing::{LimitShare, LimitSharing};
