//! Errors of calls over a link.

use snafu::Snafu;

/// Error of a call over a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum LinkError {
    /// The connection could not be established; the call was not sent.
    #[snafu(display("could not connect to the agent"))]
    NotSent,
    /// The connection failed or the agent stopped responding; the call may have
    /// been received.
    #[snafu(display("lost the connection to the agent; the call may have been received"))]
    ConnectionLost,
}
