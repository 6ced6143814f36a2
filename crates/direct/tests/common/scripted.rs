//! Responses and rows of servers that answer with the exact bytes of a script.

use std::net::SocketAddr;

use clementine_e2e::ScriptedRequest;
use serde_json::json;

use super::Store;

/// Lists a plain server in the store.
pub fn list_server(store: &Store, id: &str, pool: &str, address: SocketAddr) {
    let row = json!({"service": pool, "address": address.to_string(), "zone": "a", "slots": 6,
        "state": "ready", "kind": "card", "layers": {"from": 0, "to": 0, "version": 1},
        "sequence": 0, "born": 1});
    store.put("servers", id, &row.to_string());
}

/// Head of a signed response to a request, with further header lines, each with its
/// line end.
pub fn signed_head(request: &ScriptedRequest, status: u16, lines: &str) -> String {
    let id = request.header("request-id");
    format!("HTTP/1.1 {status} X\r\nserver-seal: seal\r\nrequest-id: {id}\r\n{lines}\r\n")
}

/// Signed response to a request.
pub fn signed(request: &ScriptedRequest, status: u16, body: &str) -> String {
    let length = format!("content-length: {}\r\n", body.len());
    signed_head(request, status, &length) + body
}
