//! Request bodies.

use std::time::Duration;

use actix_http::{HttpMessage as _, Payload, Request};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use snafu::Snafu;
use tokio::time::timeout;

/// Maximum number of bytes read from a rejected body before giving up.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;

/// Maximum time spent reading a rejected body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Error from reading a request body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The body exceeds the size limit.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// Maximum body size, in bytes.
        limit: usize,
    },
    /// The body was truncated or is badly encoded.
    #[snafu(display("the body is incomplete or badly encoded"))]
    Malformed,
}

/// Reads a complete request body of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error if the body is truncated or larger than `limit`. A
/// `Content-Length` above the limit is rejected before the body is read.
pub async fn read_body(req: &mut Request, limit: usize) -> Result<Bytes, BodyError> {
    let content_length = req.headers().get("content-length").and_then(|v| v.to_str().ok());
    let content_length: Option<usize> = content_length.and_then(|text| text.parse().ok());
    if content_length.is_some_and(|length| length > limit) {
        discard_body(req).await;
        return Err(BodyError::TooLarge { limit });
    }
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| BodyError::Malformed)?;
        if body.len() + chunk.len() > limit {
            discard(payload).await;
            return Err(BodyError::TooLarge { limit });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Reads and discards the rest of a request body, up to a size and time limit.
///
/// Closing a connection while the peer is still writing resets it, and the
/// peer may then never see the response.
pub async fn discard_body(req: &mut Request) {
    discard(req.take_payload()).await;
}

async fn discard(mut payload: Payload) {
    let read = async {
        let mut discarded = 0;
        while let Some(Ok(chunk)) = payload.next().await {
            discarded += chunk.len();
            if discarded > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    let _ = timeout(DISCARD_TIMEOUT, read).await;
}
