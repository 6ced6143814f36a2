//! Why a request got no whole answer.

use std::io;

use snafu::Snafu;

/// Why no connection could be made. Nothing was sent.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConnectError {
    /// The peer or the network refused.
    #[snafu(display("no connection: {source}"))]
    Refused {
        /// Cause.
        source: io::Error,
    },
    /// The peer did not answer in time.
    #[snafu(display("no connection in time"))]
    TimedOut,
}

/// Why an answer is not whole.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ResponseError {
    /// The connection failed or ended before the end of the answer.
    #[snafu(display("the connection ended early: {source}"))]
    Broken {
        /// Cause.
        source: io::Error,
    },
    /// The bytes are no answer.
    #[snafu(display("the bytes are no HTTP/1.1 answer"))]
    Malformed,
    /// The body is larger than allowed.
    #[snafu(display("the answer is larger than allowed"))]
    TooLarge,
}
