//! Headers that are passed on.

use actix_http::header::HeaderMap;
use clementine_wire::Header;

/// Headers that concern one connection only, and those that are set anew.
const NOT_PASSED_ON: [&str; 9] = [
    "connection",
    "content-length",
    "date",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The headers of an answer that are passed on to the caller.
pub(super) fn passed_on(headers: &HeaderMap) -> Vec<Header> {
    let all = headers.iter().filter(|(name, _)| !NOT_PASSED_ON.contains(&name.as_str()));
    all.map(|(name, value)| Header {
        name: name.as_str().into(),
        value: value.as_bytes().to_vec().into(),
    })
    .collect()
}
