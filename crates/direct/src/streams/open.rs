//! Sends the request of a stream and reads the response headers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use clementine_http1::ClientConn;
use clementine_platform::requests::{BackendResponse, ExecutionStatus, forward_head};

use super::progress::Progress;
use super::route::StreamRoute;
use crate::buffered::{BodyLimits, BufferedResponse, CONNECT_TIMEOUT, read_response_body};
use crate::engines::doubt_identity;
use crate::shared::{RequestContext, SharedState};

/// Maximum size of the body of an error response, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 1024 * 1024;

/// Outcome of sending the request of a stream.
pub(super) enum OpenOutcome {
    /// Response headers of a stream; the events follow on the connection.
    Stream(BackendResponse, Box<ClientConn>),
    /// The backend server responded with an error.
    ErrorResponse(BufferedResponse),
    /// The request was not sent.
    NotSent,
    /// The request was not executed. Contains the address of the engine that
    /// failed, if the response names it.
    NotExecuted(Option<SocketAddr>),
    /// The request may have been executed, but its response is missing or must
    /// not be relayed. Contains the reason for the log.
    ResponseLost(&'static str),
}

/// Sends a request and waits for the response headers.
pub(super) async fn open(
    shared: &Rc<SharedState>,
    ctx: &RequestContext,
    route: &RefCell<StreamRoute>,
    progress: &Progress,
) -> OpenOutcome {
    let connect_timeout = CONNECT_TIMEOUT.min(ctx.time_left());
    let address = route.borrow().address;
    let Ok(mut conn) = ClientConn::connect(address, connect_timeout, &shared.codec).await else {
        return OpenOutcome::NotSent;
    };
    // The process may have been paused meanwhile.
    if ctx.time_left().is_zero() {
        return OpenOutcome::NotSent;
    }
    let head = {
        let route = route.borrow();
        forward_head(
            &ctx.req,
            ctx.forward_params(&route.first, &route.path, progress.last_event_id()),
        )
    };
    if conn.queue(head, ctx.req.body.clone()).is_err() {
        return OpenOutcome::NotSent;
    }
    progress.set_sent();
    ctx.may_have_run.set(true);
    let first = route.borrow().first.clone();
    let Ok(head) = conn.read_head().await else {
        return OpenOutcome::ResponseLost("no-answer");
    };
    let response = BackendResponse::new(head);
    if !response.matches_request(&ctx.req.id) {
        return OpenOutcome::ResponseLost("answer-to-another");
    }
    // On a path, an engine that lacks its part responds the same.
    if response.is_misdirected() && route.borrow().path.is_empty() {
        doubt_identity(shared, &first);
    }
    shared.apply_response_signals(&first, &response);
    if response.execution == ExecutionStatus::NotExecuted {
        return OpenOutcome::NotExecuted(response.failed_engine);
    }
    if response.is_success() {
        return OpenOutcome::Stream(response, Box::new(conn));
    }
    let limits = BodyLimits {
        max_bytes: MAX_ERROR_BODY_BYTES,
        budget: &shared.response_budget,
        until: ctx.deadline,
        request_deadline: ctx.deadline,
    };
    match read_response_body(&mut conn, response.head.headers(), limits).await {
        Ok(body) if is_relayable_error(&response) => {
            OpenOutcome::ErrorResponse(BufferedResponse { response, body })
        }
        _ => OpenOutcome::ResponseLost("answer-unfit"),
    }
}

/// Whether a response that is not a usable success may be relayed as an error. A
/// 2xx status may not: it would need a signature. Neither may a status that
/// claims that the request was not executed.
fn is_relayable_error(response: &BackendResponse) -> bool {
    !response.head.status.is_success() && !response.status_implies_not_executed()
}
