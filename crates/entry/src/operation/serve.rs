//! Serves operations that may run at most once.

use std::rc::Rc;

use actix_http::Response;
use actix_http::body::BoxBody;
use bytes::Bytes;
use clementine_decide::ids::RequestId;
use clementine_decide::operation::{
    AnswerSource, ClaimKey, OperationDriver, OperationLimits, OperationRequest, OperationResult,
    RecordedResponse, RequestDigest,
};
use clementine_decide::outcome::ErrorKind;
use clementine_objects::Route;
use clementine_wire::{Header, HttpResponseHead};

use super::PoolAgents;
use crate::callers::{CallerRequest, RequestError, full_response};
use crate::entry::Entry;

/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Header by which a caller declares that it has sent no request with the key
/// before.
const FIRST_ATTEMPT_HEADER: &str = "clementine-first-attempt";

/// Longest idempotency key, in bytes.
const KEY_MAX_BYTES: usize = 255;

impl Entry {
    /// Serves an operation that may run at most once.
    pub(crate) async fn run_operation(
        self: Rc<Self>,
        caller: CallerRequest,
        route: &Route,
    ) -> Result<Response<BoxBody>, RequestError> {
        let key = claim_key(&caller, route)?;
        let digest = RequestDigest::compute(&caller.method, &caller.path, &caller.body);
        let agents = PoolAgents::new(&self, &caller, &route.pool);
        let limits = OperationLimits::default();
        let first_attempt = caller.header(FIRST_ATTEMPT_HEADER) == Some("true");
        let request = OperationRequest { key: &key, digest, first_attempt };
        let driver = OperationDriver::new(&self.claims, &agents, request, limits);
        match driver.drive().await {
            OperationResult::Answered { response: recorded, source } => {
                self.metrics.count_claim(source_label(source));
                Ok(response(caller.id, recorded))
            }
            OperationResult::Failed { kind, retry_after } => {
                self.metrics.count_claim(kind.code());
                Err(RequestError::new(kind, message(kind)).with_retry_after(retry_after))
            }
        }
    }
}

fn claim_key(caller: &CallerRequest, route: &Route) -> Result<ClaimKey, RequestError> {
    let Some(key) = caller.header(KEY_HEADER).filter(|key| !key.is_empty()) else {
        let message = format!("route `{}` needs an Idempotency-Key header", route.name);
        return Err(RequestError::new(ErrorKind::KeyMissing, message));
    };
    if key.len() > KEY_MAX_BYTES {
        let message = format!("the Idempotency-Key is longer than {KEY_MAX_BYTES} bytes");
        return Err(RequestError::new(ErrorKind::TooLarge, message));
    }
    Ok(ClaimKey {
        workspace: caller.workspace.name.clone(),
        route: route.name.clone(),
        key: key.into(),
    })
}

fn response(id: RequestId, recorded: RecordedResponse) -> Response<BoxBody> {
    let value = Bytes::copy_from_slice(recorded.content_type.as_bytes());
    let content_type = Header { name: "content-type".into(), value };
    let headers = if content_type.value.is_empty() { Vec::new() } else { vec![content_type] };
    let head = HttpResponseHead { status: recorded.status, headers };
    full_response(id, &head, recorded.body.into())
}

const fn source_label(source: AnswerSource) -> &'static str {
    match source {
        AnswerSource::OwnRun => "own_run",
        AnswerSource::Attachment => "attachment",
        AnswerSource::Record => "record",
    }
}

const fn message(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::KeyReused => "the key was used with another request",
        ErrorKind::StoreUnavailable => "the table service does not answer",
        ErrorKind::ClaimUnreadable => {
            "the table service does not answer; this request was not run, \
             an earlier one with the same key may have been"
        }
        ErrorKind::NoBackend => "no backend server takes the request",
        ErrorKind::Overloaded => "no backend server can answer in time",
        ErrorKind::BackendLost => "the backend server gave no answer; it may have run the request",
        ErrorKind::AgentReplaced => "the instance that held the request is gone; it may have run",
        ErrorKind::AgentUnreachable => {
            "the instance that holds the request can't be reached; ask again with the same key"
        }
        _ => "the request was given up on",
    }
}
