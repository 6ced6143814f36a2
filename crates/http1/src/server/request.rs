//! A request as it was read, and the bounds of reading.

use std::time::Duration;

use actix_http::RequestHead;
use bytes::Bytes;

/// A request that was read to its end.
#[derive(Debug)]
pub struct BufferedRequest {
    /// Request line and headers.
    pub head: RequestHead,
    /// The whole body.
    pub body: Bytes,
}

/// Bounds of what a caller may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadLimits {
    /// Bytes of request line and headers.
    pub max_head_bytes: usize,
    /// Bytes of the body.
    pub max_body_bytes: usize,
    /// Time from the first byte of a request to the end of its headers, and
    /// the longest pause within its body.
    pub head_timeout: Duration,
    /// Time without a request after which the connection is closed.
    pub idle_timeout: Duration,
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
