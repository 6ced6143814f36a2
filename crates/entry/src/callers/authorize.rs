//! Authentication and limits that apply to all callers' requests.

use std::rc::Rc;

use actix_http::{HttpMessage as _, Request};
use bytes::Bytes;
use clementine_decide::ids::{RequestId, Tick};
use clementine_decide::outcome::ErrorKind;
use clementine_objects::{Catalog, Millis, PriorityName, TokenDigest, Workspace};
use clementine_process::http::{BodyError, read_body};
use tokio::time::timeout;

use super::request::forwarded_headers;
use super::{CallerRequest, RequestError};
use crate::entry::Entry;

/// Request header with a relative deadline, such as `2s`.
const DEADLINE_HEADER: &str = "clementine-deadline";

/// Request header with the name of a priority.
const PRIORITY_HEADER: &str = "clementine-priority";

impl Entry {
    /// Authenticates a request, checks its limits and reads its body.
    pub(super) async fn authorize_request(
        &self,
        id: RequestId,
        req: &mut Request,
    ) -> Result<CallerRequest, RequestError> {
        self.check_capacity()?;
        self.check_header_size(req)?;
        let snapshot = self.snapshot();
        let workspace = self.workspace(req)?;
        let level = priority_level(&snapshot.catalog, &workspace, req)?;
        let deadline = self.deadline(&workspace, req)?;
        let limit_place = self.check_limits(&workspace)?;
        let body = self.body(req, deadline).await?;
        Ok(CallerRequest {
            id,
            workspace,
            method: req.method().as_str().into(),
            path: req.uri().path_and_query().map_or("/", |path| path.as_str()).into(),
            headers: forwarded_headers(req.headers()),
            body,
            deadline,
            level,
            _limit_place: limit_place,
        })
    }

    fn check_capacity(&self) -> Result<(), RequestError> {
        if self.drain.in_progress() > self.settings.limits.in_progress {
            return Err(RequestError::new(
                ErrorKind::Overloaded,
                "too many requests are in progress",
            ));
        }
        Ok(())
    }

    fn check_header_size(&self, req: &Request) -> Result<(), RequestError> {
        let limit = self.settings.limits.header_bytes;
        let headers = req.headers().iter();
        let size: usize = headers.map(|(name, value)| name.as_str().len() + value.len()).sum();
        if size > limit {
            let message = format!("the headers exceed {limit} bytes");
            return Err(RequestError::new(ErrorKind::TooLarge, message));
        }
        Ok(())
    }

    fn workspace(&self, req: &Request) -> Result<Rc<Workspace>, RequestError> {
        let refuse = |message: &str| RequestError::new(ErrorKind::InvalidToken, message);
        let authorization =
            header(req, "authorization").ok_or_else(|| refuse("missing bearer token"))?;
        let token = authorization
            .strip_prefix("Bearer ")
            .ok_or_else(|| refuse("the authorization header does not contain a bearer token"))?;
        let workspace = self.workspace_by_token(&TokenDigest::of_token(token.trim()));
        workspace.ok_or_else(|| refuse("unknown bearer token"))
    }

    fn deadline(&self, workspace: &Workspace, req: &Request) -> Result<Tick, RequestError> {
        let requested = match header(req, DEADLINE_HEADER) {
            None => workspace.deadline,
            Some(text) => text.parse().map_err(|error| {
                RequestError::new(ErrorKind::InvalidRequest, format!("{DEADLINE_HEADER}: {error}"))
            })?,
        };
        let allowed: Millis = requested.min(self.settings.limits.deadline);
        // The request may have waited while the process was paused.
        let waited = self.pauses.max_wait();
        if waited > Millis(0) && allowed <= waited {
            let message = "the deadline passed before the request was received";
            return Err(RequestError::new(ErrorKind::DeadlineBeforeRun, message));
        }
        Ok(self.clock.now().after(Millis(allowed.0.saturating_sub(waited.0))))
    }

    /// Reads the body. A body that comes byte by byte ends at the request's deadline.
    async fn body(&self, req: &mut Request, deadline: Tick) -> Result<Bytes, RequestError> {
        let time_left = deadline.since(self.clock.now()).duration();
        let read = timeout(time_left, read_body(req, self.settings.limits.body_bytes)).await;
        let read = read.map_err(|_| {
            let message = "the deadline passed before the body was received";
            RequestError::new(ErrorKind::DeadlineBeforeRun, message)
        })?;
        read.map_err(|error| {
            let kind = match error {
                BodyError::TooLarge { .. } => ErrorKind::TooLarge,
                BodyError::Malformed => ErrorKind::InvalidRequest,
            };
            RequestError::new(kind, error.to_string())
        })
    }
}

fn priority_level(
    catalog: &Catalog,
    workspace: &Workspace,
    req: &Request,
) -> Result<u8, RequestError> {
    let name = match header(req, PRIORITY_HEADER) {
        None => workspace.priority.clone(),
        Some(text) => text.parse::<PriorityName>().map_err(|error| {
            RequestError::new(ErrorKind::InvalidRequest, format!("{PRIORITY_HEADER}: {error}"))
        })?,
    };
    let priority = catalog.priority(&name);
    priority.map(|priority| priority.level).ok_or_else(|| {
        RequestError::new(ErrorKind::InvalidRequest, format!("unknown priority `{name}`"))
    })
}

/// Returns the value of a header; `None` if it is absent or not visible ASCII.
fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}
