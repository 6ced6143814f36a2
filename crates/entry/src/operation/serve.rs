//! Serves operations that run at most once.

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

/// Request header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Request header by which a caller declares that it has not sent a request with
/// this key before.
const FIRST_ATTEMPT_HEADER: &str = "clementine-first-attempt";

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

impl Entry {
    /// Executes an operation at most once and returns its recorded response.
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
        let message = format!("route `{}` requires an Idempotency-Key header", route.name);
        return Err(RequestError::new(ErrorKind::KeyMissing, message));
    };
    if key.len() > MAX_KEY_BYTES {
        let message = format!("the Idempotency-Key exceeds {MAX_KEY_BYTES} bytes");
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
        ErrorKind::KeyReused => "the idempotency key was already used for a different request",
        ErrorKind::StoreUnavailable => "the table service is unavailable",
        ErrorKind::ClaimUnreadable => {
            "the table service is unavailable; this request was not executed, \
             but an earlier one with the same key may have been"
        }
        ErrorKind::NoBackend => "no backend server accepts the request",
        ErrorKind::Overloaded => "no backend server has capacity to respond before the deadline",
        ErrorKind::BackendLost => {
            "the backend server did not respond; it may have executed the request"
        }
        ErrorKind::AgentReplaced => {
            "the instance that owned the request was replaced; the request may have been executed"
        }
        ErrorKind::AgentUnreachable => {
            "the instance that owns the request is unreachable; retry with the same key"
        }
        _ => "the request failed",
    }
}
