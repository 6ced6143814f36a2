//! A caller's request after the checks that all requests share.

use std::rc::Rc;

use actix_http::header::HeaderMap;
use bytes::Bytes;
use clementine_decide::ids::{RequestId, Tick};
use clementine_objects::{Millis, Workspace};
use clementine_wire::Header;
use compact_str::CompactString;

/// Request headers that are for the entry itself.
const ENTRY_HEADERS: [&str; 5] =
    ["authorization", "clementine-deadline", "clementine-priority", "expect", "x-request-id"];

/// A caller's request.
#[derive(Debug, Clone)]
pub(crate) struct CallerRequest {
    /// Identity of the request.
    pub(crate) id: RequestId,
    /// The caller's workspace.
    pub(crate) workspace: Rc<Workspace>,
    /// HTTP method.
    pub(crate) method: CompactString,
    /// Path and query.
    pub(crate) path: CompactString,
    /// Headers that are passed on.
    pub(crate) headers: Vec<Header>,
    /// Body.
    pub(crate) body: Bytes,
    /// Time by which the answer has to be there.
    pub(crate) deadline: Tick,
    /// Priority level.
    pub(crate) level: u8,
}

impl CallerRequest {
    /// Time left until the deadline.
    pub(crate) const fn time_left(&self, now: Tick) -> Millis {
        self.deadline.since(now)
    }

    /// Value of a passed-on header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|header| header.name == name)?;
        std::str::from_utf8(&header.value).ok()
    }
}

/// The headers of a request that are passed on to backend servers.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let is_own = |name: &str| Header::is_hop_by_hop(name) || ENTRY_HEADERS.contains(&name);
    let kept = headers.iter().filter(|(name, _)| !is_own(name.as_str()));
    kept.map(|(name, value)| Header {
        name: name.as_str().into(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    })
    .collect()
}
