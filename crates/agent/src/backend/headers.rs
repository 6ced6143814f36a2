//! Headers that are passed on.

use actix_http::header::HeaderMap;
use clementine_wire::Header;

/// The headers of an answer that are passed on to the caller. The date is set
/// anew.
pub(super) fn forwarded(headers: &HeaderMap) -> Vec<Header> {
    let kept = headers
        .iter()
        .filter(|(name, _)| !Header::is_hop_by_hop(name.as_str()) && name.as_str() != "date");
    kept.map(|(name, value)| Header {
        name: name.as_str().into(),
        value: value.as_bytes().to_vec().into(),
    })
    .collect()
}
