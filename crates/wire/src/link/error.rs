//! Why a call over a link failed.

use snafu::Snafu;

/// Why a call over a link failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum LinkError {
    /// No connection could be opened; the call was not sent.
    #[snafu(display("the agent accepts no connection"))]
    NotSent,
    /// The connection broke or went silent; the call may have arrived.
    #[snafu(display("the connection to the agent was lost"))]
    ConnectionLost,
}
