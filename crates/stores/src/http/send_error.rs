//! Classification of failed HTTP requests.

use awc::error::{ConnectError, SendRequestError};

/// Returns whether a failed request is known never to have reached the server.
///
/// `ConnectError::Disconnected` does not prove this: `awc` also returns it if
/// the connection closes after the request was written.
pub fn was_never_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(cause) => !matches!(cause, ConnectError::Disconnected),
        _ => false,
    }
}
