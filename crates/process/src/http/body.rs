//! Reads request bodies.

use std::time::Duration;

use actix_http::{HttpMessage as _, Payload, Request};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use snafu::Snafu;
use tokio::time::timeout;

/// Most that is read of a refused body, in bytes.
const DISCARD_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Longest time for which a refused body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// Largest accepted body, in bytes.
        limit: usize,
    },
    /// The body broke off or is badly encoded.
    #[snafu(display("the body is incomplete or badly encoded"))]
    Malformed,
}

/// Reads a whole request body of at most `limit` bytes.
///
/// # Errors
///
/// Refuses larger bodies, by their declared length where there is one, and
/// bodies that break off.
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

/// Reads the rest of a request body and drops it, within bounds.
///
/// A connection that is closed while the peer still writes is reset, and the
/// peer never sees the answer.
pub async fn discard_body(req: &mut Request) {
    discard(req.take_payload()).await;
}

async fn discard(mut payload: Payload) {
    let read = async {
        let mut discarded = 0;
        while let Some(Ok(chunk)) = payload.next().await {
            discarded += chunk.len();
            if discarded > DISCARD_MAX_BYTES {
                return;
            }
        }
    };
    let _ = timeout(DISCARD_TIMEOUT, read).await;
}
