//! A caller's request after the checks that all requests share.

use actix_http::header::HeaderMap;
use bytes::Bytes;
use clementine_decide::ids::{RequestId, Tick};
use clementine_objects::{Millis, Workspace};
use clementine_wire::Header;
use compact_str::CompactString;

/// Request headers that are not passed on to backend servers: those of one
/// connection, those that are set anew, and the caller's credentials.
const NOT_PASSED_ON: [&str; 13] = [
    "authorization",
    "clementine-deadline",
    "clementine-priority",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];

/// A caller's request.
#[derive(Debug, Clone)]
pub(crate) struct CallerRequest {
    /// Identity of the request.
    pub(crate) id: RequestId,
    /// The caller's workspace.
    pub(crate) workspace: Workspace,
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
pub(crate) fn passed_on_headers(headers: &HeaderMap) -> Vec<Header> {
    let kept = headers.iter().filter(|(name, _)| !NOT_PASSED_ON.contains(&name.as_str()));
    kept.map(|(name, value)| Header {
        name: name.as_str().into(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    })
    .collect()
}
