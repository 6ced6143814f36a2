//! Reads the body of a response within the memory for such bodies.

use actix_http::header::{self, HeaderMap};
use bytes::{Bytes, BytesMut};
use clementine_http1::{BodyBudget, BodyMemory, ClientConn, FREE_BYTES};
use snafu::Snafu;
use tokio::time::{Instant, timeout_at};

/// A complete body, with its part of the memory for such bodies unless it is small.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    pub(crate) bytes: Bytes,
    /// Held until the body has been sent.
    _memory: Option<BodyMemory>,
}

/// A body was not read.
#[derive(Debug, Snafu)]
pub(crate) enum BodyError {
    /// It is truncated, badly encoded or too large.
    #[snafu(display("the body is truncated, badly encoded or too large"))]
    Unusable,
    /// It was not received in time.
    #[snafu(display("the body was not received in time"))]
    TimedOut,
    /// There was no memory for it until the request's deadline.
    #[snafu(display("there was no memory for the body"))]
    NoMemory,
}

/// What bounds the reading of a body.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimits<'a> {
    pub(crate) max_bytes: usize,
    pub(crate) budget: &'a BodyBudget,
    /// When the server has to have sent it. Later by the time for which the body waits for
    /// memory.
    pub(crate) until: Instant,
    /// End of the wait for memory.
    pub(crate) request_deadline: Instant,
}

/// Reads the rest of a response whose head has been read. While there is no memory for a
/// large body, the server is not read.
pub(crate) async fn read_response_body(
    conn: &mut ClientConn,
    headers: &HeaderMap,
    limits: BodyLimits<'_>,
) -> Result<ResponseBody, BodyError> {
    let mut limits = limits;
    // A response to HEAD has no body, whatever its head says.
    let length = content_length(headers).unwrap_or(0).min(limits.max_bytes);
    let mut memory = None;
    if length > FREE_BYTES {
        memory = Some(limits.take_memory(length).await?);
    }
    let mut body = BytesMut::new();
    loop {
        let chunk = timeout_at(limits.until, conn.read_chunk()).await;
        let chunk = chunk.map_err(|_| BodyError::TimedOut)?.map_err(|_| BodyError::Unusable)?;
        let Some(chunk) = chunk else { break };
        let received = body.len() + chunk.len();
        if received > limits.max_bytes {
            return Err(BodyError::Unusable);
        }
        if received > FREE_BYTES && memory.is_none() {
            memory = Some(limits.take_memory(limits.max_bytes).await?);
        }
        body.extend_from_slice(&chunk);
    }
    if let Some(memory) = &mut memory {
        memory.shrink(body.len());
    }
    Ok(ResponseBody { bytes: body.freeze(), _memory: memory })
}

impl BodyLimits<'_> {
    async fn take_memory(&mut self, bytes: usize) -> Result<BodyMemory, BodyError> {
        let started = Instant::now();
        let taken = timeout_at(self.request_deadline, self.budget.take(bytes)).await;
        self.until = (self.until + started.elapsed()).min(self.request_deadline);
        taken.map_err(|_| BodyError::NoMemory)
    }
}

/// Length of the body, if the head tells it.
fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}
