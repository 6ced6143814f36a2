//! What a failed HTTP request tells of its effect.

use awc::error::{ConnectError, SendRequestError};

/// Whether a request surely never reached the server.
///
/// `awc` reports a connection that closes after the request was written as
/// `ConnectError::Disconnected`, so that not every connect error is proof.
pub fn was_never_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(cause) => !matches!(cause, ConnectError::Disconnected),
        _ => false,
    }
}
