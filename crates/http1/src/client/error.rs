//! Client connection errors.

use std::io;

use snafu::Snafu;

/// Error from opening a connection. No request has been sent.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConnectError {
    /// The connection was refused or failed.
    #[snafu(display("connection failed: {source}"))]
    Refused {
        /// Underlying error.
        source: io::Error,
    },
    /// The connection was not established in time.
    #[snafu(display("connection timed out"))]
    TimedOut,
}

/// Error from reading a response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ResponseError {
    /// The connection failed or was closed before the end of the response.
    #[snafu(display("connection lost before the end of the response: {source}"))]
    ConnectionLost {
        /// Underlying error.
        source: io::Error,
    },
    /// The bytes received are not a valid response.
    #[snafu(display("invalid HTTP/1.1 response"))]
    Malformed,
    /// The body exceeds the size limit.
    #[snafu(display("response body exceeds the size limit"))]
    TooLarge,
}
