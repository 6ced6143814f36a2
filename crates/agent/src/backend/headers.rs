//! Response headers.

use actix_http::header::HeaderMap;
use clementine_wire::Header;

/// Returns the response headers to forward to the caller: all but hop-by-hop
/// headers and `Date`, which is set again.
pub(super) fn forwarded(headers: &HeaderMap) -> Vec<Header> {
    let forwarded = headers
        .iter()
        .filter(|(name, _)| !Header::is_hop_by_hop(name.as_str()) && name.as_str() != "date");
    forwarded
        .map(|(name, value)| Header {
            name: name.as_str().into(),
            value: value.as_bytes().to_vec().into(),
        })
        .collect()
}
