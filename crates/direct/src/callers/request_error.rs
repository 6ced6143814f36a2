//! Error responses that the entry generates itself.

use std::io;
use std::time::Duration;

use actix_http::{ConnectionType, StatusCode};
use bytes::Bytes;
use clementine_decide::outcome::ErrorKind;
use clementine_http1::ServerConn;
use clementine_platform::requests::local_response;

/// Error with which a request of a caller failed. The entry generates the response
/// itself instead of relaying one of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestError {
    pub(crate) kind: ErrorKind,
    /// Value of the `Retry-After` header, for requests that were not executed.
    pub(crate) retry_after: Option<Duration>,
}

impl RequestError {
    pub(crate) const fn new(kind: ErrorKind) -> Self {
        Self { kind, retry_after: None }
    }

    pub(crate) const fn with_retry_after(kind: ErrorKind, retry_after: Duration) -> Self {
        Self { kind, retry_after: Some(retry_after) }
    }
}

/// Sends an error response. `closing` announces that the connection is closed
/// after it.
pub(crate) async fn send_error(
    conn: &mut ServerConn,
    id: &str,
    error: RequestError,
    closing: bool,
) -> io::Result<()> {
    let status = StatusCode::from_u16(error.kind.response().status)
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut res = local_response(status, id, error.retry_after);
    if closing {
        res.head_mut().set_connection_type(ConnectionType::Close);
    }
    let body = Bytes::from(format!("{{\"error\":\"{}\"}}\n", error.kind.code()));
    conn.send(res, &body).await
}
