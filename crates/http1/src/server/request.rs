//! Buffered requests and their size and time limits.

use std::time::Duration;

use actix_http::RequestHead;
use bytes::Bytes;

use crate::BodyMemory;

/// A request whose body has been read completely.
#[derive(Debug)]
pub struct BufferedRequest {
    /// Request line and headers.
    pub head: RequestHead,
    /// Complete body.
    pub body: Bytes,
    /// The body's part of the budget of its connection, if there is one. Keep it as long as
    /// the body.
    pub memory: Option<BodyMemory>,
}

/// Size and time limits for reading requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadLimits {
    /// Maximum size of the request line and headers.
    pub max_head_bytes: usize,
    /// Maximum size of the body.
    pub max_body_bytes: usize,
    /// Maximum time from the first byte of a request to the end of its headers.
    /// Also the maximum wait for more bytes of its body, which has to arrive at 1 KiB/s
    /// on average after this time.
    pub head_timeout: Duration,
    /// Maximum time that a connection waits for a request.
    pub idle_timeout: Duration,
}

/// Minimum average rate of a body after the first `head_timeout`, in bytes per second.
/// Far below that of slow links, so that it ends only bodies that come byte by byte.
const MIN_BODY_RATE: u32 = 1024;

impl ReadLimits {
    /// Maximum time since the start of a body of which `received` bytes have been read.
    pub(super) fn body_time(&self, received: usize) -> Duration {
        self.head_timeout + Duration::from_secs_f64(received as f64 / f64::from(MIN_BODY_RATE))
    }
}

impl Default for ReadLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
