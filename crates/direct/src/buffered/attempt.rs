//! A single attempt to get a buffered response from a backend server.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::ids::BackendId;
use clementine_http1::ClientConn;
use clementine_platform::requests::{BackendResponse, ExecutionStatus, forward_head};
use tokio::time::{Instant, timeout_at};

use super::body::{BodyError, BodyLimits, ResponseBody, read_response_body};
use crate::engines::doubt_identity;
use crate::shared::{RequestContext, SharedState};

/// Timeout for connecting to a backend server.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of a response body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// A backend server's response with its complete body.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) response: BackendResponse,
    pub(crate) body: ResponseBody,
}

/// Outcome of one attempt.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The backend server responded.
    Response(BufferedResponse),
    /// The request was not sent.
    NotSent,
    /// The backend server reported that it did not execute the request.
    NotExecuted,
    /// The request may have been executed, but its response is missing or must
    /// not be relayed. Contains the reason for the log.
    ResponseLost(&'static str),
    /// There was no response in time. The request may have been executed.
    TimedOut,
    /// There was a response, and no memory for its body until the deadline.
    NoMemory,
}

/// Sends a request to a backend server and reads the complete response.
pub(crate) async fn send_request(
    shared: &Rc<SharedState>,
    ctx: &RequestContext,
    backend: &BackendId,
    address: SocketAddr,
    deadline: Instant,
) -> AttemptOutcome {
    let connect_timeout = CONNECT_TIMEOUT.min(ctx.time_left());
    let Ok(mut conn) = ClientConn::connect(address, connect_timeout, &shared.codec).await else {
        return AttemptOutcome::NotSent;
    };
    // The process may have been paused meanwhile.
    if ctx.time_left().is_zero() {
        return AttemptOutcome::NotSent;
    }
    let head = forward_head(&ctx.req, ctx.forward_params(backend, &[], None));
    if conn.queue(head, ctx.req.body.clone()).is_err() {
        return AttemptOutcome::NotSent;
    }
    ctx.may_have_run.set(true);
    read_response(&mut conn, shared, ctx, backend, deadline).await
}

async fn read_response(
    conn: &mut ClientConn,
    shared: &Rc<SharedState>,
    ctx: &RequestContext,
    backend: &BackendId,
    deadline: Instant,
) -> AttemptOutcome {
    let response = match timeout_at(deadline, conn.read_head()).await {
        Ok(Ok(head)) => BackendResponse::new(head),
        Ok(Err(_)) => return AttemptOutcome::ResponseLost("no-answer"),
        Err(_) => return AttemptOutcome::TimedOut,
    };
    if !response.matches_request(&ctx.req.id) {
        return AttemptOutcome::ResponseLost("answer-to-another");
    }
    if response.is_misdirected() {
        doubt_identity(shared, backend);
    }
    shared.apply_response_signals(backend, &response);
    if response.execution == ExecutionStatus::NotExecuted {
        return AttemptOutcome::NotExecuted;
    }
    let limits = BodyLimits {
        max_bytes: MAX_BODY_BYTES,
        budget: &shared.response_budget,
        until: deadline,
        request_deadline: ctx.deadline,
    };
    let body = match read_response_body(conn, response.head.headers(), limits).await {
        Ok(body) => body,
        Err(BodyError::Unusable) => return AttemptOutcome::ResponseLost("answer-broke-off"),
        Err(BodyError::TimedOut) => return AttemptOutcome::TimedOut,
        Err(BodyError::NoMemory) => return AttemptOutcome::NoMemory,
    };
    // The status must not claim that the request was not executed, and a success
    // must be signed.
    if response.status_implies_not_executed()
        || (response.head.status.is_success() && !response.is_success())
    {
        return AttemptOutcome::ResponseLost("answer-unfit");
    }
    AttemptOutcome::Response(BufferedResponse { response, body })
}
