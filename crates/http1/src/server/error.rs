//! Errors from reading requests.

use std::io;

use snafu::Snafu;

/// Error from reading a request.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReadError {
    /// The connection was closed or lost between requests.
    #[snafu(display("connection closed between requests"))]
    Closed,
    /// No request arrived within the idle timeout.
    #[snafu(display("idle timeout"))]
    Idle,
    /// The connection failed or was closed within a request.
    #[snafu(display("connection lost within a request: {source}"))]
    ConnectionLost {
        /// Underlying error.
        source: io::Error,
    },
    /// The request was not received in time.
    #[snafu(display("timed out receiving the request"))]
    TimedOut,
    /// The request line and headers exceed the size limit.
    #[snafu(display("request headers exceed the size limit"))]
    HeadTooLarge,
    /// The body exceeds the size limit.
    #[snafu(display("request body exceeds the size limit"))]
    BodyTooLarge,
    /// There is no memory for the body, which has not been read.
    #[snafu(display("no memory for the request body"))]
    NoMemory,
    /// The bytes received are not a valid request.
    #[snafu(display("invalid HTTP/1.1 request"))]
    Malformed,
}

impl ReadError {
    /// Returns the response status, or `None` if the connection is closed without
    /// a response.
    pub const fn status(&self) -> Option<u16> {
        match self {
            Self::Closed | Self::Idle | Self::ConnectionLost { .. } => None,
            Self::TimedOut => Some(408),
            Self::HeadTooLarge => Some(431),
            Self::BodyTooLarge => Some(413),
            Self::Malformed => Some(400),
            Self::NoMemory => Some(503),
        }
    }
}
