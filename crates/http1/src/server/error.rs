//! Why no request could be read.

use std::io;

use snafu::Snafu;

/// Why no request could be read from a caller's connection.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReadError {
    /// The caller closed the connection between two requests.
    #[snafu(display("the caller closed the connection"))]
    Closed,
    /// The caller was idle for too long between two requests.
    #[snafu(display("the connection was idle for too long"))]
    Idle,
    /// The connection failed or ended within a request.
    #[snafu(display("the connection ended within a request: {source}"))]
    Broken {
        /// Cause.
        source: io::Error,
    },
    /// The request did not arrive in time.
    #[snafu(display("the request did not arrive in time"))]
    TimedOut,
    /// The headers are larger than allowed.
    #[snafu(display("the headers are larger than allowed"))]
    HeadTooLarge,
    /// The body is larger than allowed.
    #[snafu(display("the body is larger than allowed"))]
    BodyTooLarge,
    /// The bytes are no request.
    #[snafu(display("the bytes are no HTTP/1.1 request"))]
    Malformed,
}

impl ReadError {
    /// Status of the answer that tells the caller, or `None` where the
    /// connection is only closed.
    pub const fn status(&self) -> Option<u16> {
        match self {
            Self::Closed | Self::Idle | Self::Broken { .. } => None,
            Self::TimedOut => Some(408),
            Self::HeadTooLarge => Some(431),
            Self::BodyTooLarge => Some(413),
            Self::Malformed => Some(400),
        }
    }
}
