//! Reads request bodies.

use actix_http::{HttpMessage as _, Request};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use snafu::Snafu;

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum BodyFault {
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
pub async fn read_body(req: &mut Request, limit: usize) -> Result<Bytes, BodyFault> {
    let declared = req.headers().get("content-length").and_then(|v| v.to_str().ok());
    let declared: Option<usize> = declared.and_then(|text| text.parse().ok());
    if declared.is_some_and(|length| length > limit) {
        return Err(BodyFault::TooLarge { limit });
    }
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| BodyFault::Malformed)?;
        if body.len() + chunk.len() > limit {
            return Err(BodyFault::TooLarge { limit });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
