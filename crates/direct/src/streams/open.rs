//! One run of a stream.

use std::cell::RefCell;
use std::net::SocketAddr;

use clementine_http1::Exchange;
use clementine_platform::requests::{BackendResponse, ExecutionStatus, forward_head};

use super::route::StreamRoute;
use crate::buffered::{BufferedResponse, CONNECT_TIMEOUT};
use crate::hub::{Hub, RequestContext};

/// Largest failure that is read, in bytes.
const FAILURE_LIMIT: usize = 1024 * 1024;

/// What became of sending a request for a stream.
pub(super) enum Opened {
    /// Events follow.
    Stream(BackendResponse, Box<Exchange>),
    /// The backend server's failure, whole.
    Failed(BufferedResponse),
    /// Nothing was sent.
    NotSent,
    /// The request did not run; the engine at fault, where the answer tells.
    NotRun(Option<SocketAddr>),
    /// The request may have run; there is no answer that can be used.
    Lost(&'static str),
}

/// Sends a request and waits for the headers of the answer.
pub(super) async fn open(
    hub: &Hub,
    ctx: &RequestContext,
    route: &RefCell<StreamRoute>,
    last_event: Option<u64>,
) -> Opened {
    let connect_limit = CONNECT_TIMEOUT.min(ctx.remaining_time());
    let address = route.borrow().address;
    let Ok(mut exchange) = Exchange::connect(address, connect_limit, &hub.codec).await else {
        return Opened::NotSent;
    };
    let head = {
        let route = route.borrow();
        forward_head(&ctx.req, ctx.forward_params(&route.first, &route.path, last_event))
    };
    if exchange.queue(head, ctx.req.body.clone()).is_err() {
        return Opened::NotSent;
    }
    let Ok(head) = exchange.read_head().await else { return Opened::Lost("no-answer") };
    let answer = BackendResponse::new(head);
    if !answer.matches_request(&ctx.req.id) {
        return Opened::Lost("answer-to-another");
    }
    if answer.execution == ExecutionStatus::NotExecuted {
        return Opened::NotRun(answer.failed_engine);
    }
    if answer.is_success() {
        return Opened::Stream(answer, Box::new(exchange));
    }
    match exchange.read_body(FAILURE_LIMIT).await {
        Ok(body) if may_pass_on(&answer) => {
            let unframed = exchange.ends_with_connection();
            Opened::Failed(BufferedResponse { answer, body, unframed })
        }
        _ => Opened::Lost("answer-unfit"),
    }
}

/// Whether a failure may be passed on: its status must not promise that the
/// request did not run, and a success must be signed.
fn may_pass_on(answer: &BackendResponse) -> bool {
    !answer.head.status.is_success() && !answer.status_implies_not_executed()
}
