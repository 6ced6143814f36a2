//! Requests of callers after the common checks.

use std::rc::Rc;

use actix_http::header::HeaderMap;
use bytes::Bytes;
use clementine_decide::ids::{RequestId, Tick};
use clementine_objects::{Millis, Workspace};
use clementine_wire::Header;
use compact_str::CompactString;

use crate::limits::LimitPlace;

/// Request headers that the entry consumes and does not forward.
const ENTRY_HEADERS: [&str; 5] =
    ["authorization", "clementine-deadline", "clementine-priority", "expect", "x-request-id"];

/// An authenticated request of a caller.
#[derive(Debug, Clone)]
pub(crate) struct CallerRequest {
    /// Id of the request.
    pub(crate) id: RequestId,
    /// The caller's workspace.
    pub(crate) workspace: Rc<Workspace>,
    /// HTTP method.
    pub(crate) method: CompactString,
    /// Path and query.
    pub(crate) path: CompactString,
    /// Headers to forward.
    pub(crate) headers: Vec<Header>,
    /// Request body.
    pub(crate) body: Bytes,
    /// Time by which the response is due.
    pub(crate) deadline: Tick,
    /// Priority level from 0 (highest priority) to 9 (lowest).
    pub(crate) level: u8,
    /// Counts the request towards the limits of its workspace, if it has any, until it
    /// has ended.
    pub(super) _limit_place: Option<Rc<LimitPlace>>,
}

impl CallerRequest {
    /// Returns the time remaining until the deadline.
    pub(crate) const fn time_left(&self, now: Tick) -> Millis {
        self.deadline.since(now)
    }

    /// Returns the value of a forwarded header; `None` if it is absent or not
    /// UTF-8.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|header| header.name == name)?;
        std::str::from_utf8(&header.value).ok()
    }
}

/// Selects the headers to forward to backend servers: all except hop-by-hop
/// headers and those that the entry consumes.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let is_excluded = |name: &str| Header::is_hop_by_hop(name) || ENTRY_HEADERS.contains(&name);
    let forwarded = headers.iter().filter(|(name, _)| !is_excluded(name.as_str()));
    forwarded
        .map(|(name, value)| Header {
            name: name.as_str().into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
