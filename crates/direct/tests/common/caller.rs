//! Caller that sends one request per connection.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead};
use bytes::Bytes;
use clementine_http1::{ClientConn, ServerConn};

/// Response as received by a caller.
#[derive(Debug)]
pub struct CallerResponse {
    /// 0 if there was no response.
    pub status: u16,
    pub body: String,
    /// Whether the body was received to its end.
    pub complete: bool,
    /// Whether the end of the connection ended the body.
    pub close_delimited: bool,
    pub retry_after: Option<String>,
}

/// Sends a request with the default headers and a valid API key.
pub async fn send_request(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &'static str,
) -> CallerResponse {
    send_request_with_headers(to, method, path, body, &[("x-api-key", "key")]).await
}

/// Sends a request with the default headers and `headers`.
pub async fn send_request_with_headers(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &'static str,
    headers: &[(&'static str, &str)],
) -> CallerResponse {
    let no_response = CallerResponse {
        status: 0,
        body: String::new(),
        complete: false,
        close_delimited: false,
        retry_after: None,
    };
    let limit = Duration::from_secs(1);
    let Ok(mut conn) = ClientConn::connect(to, limit, &ServerConn::codec_config()).await else {
        return no_response;
    };
    let head = request_head(method, path, headers);
    conn.queue(head, Bytes::from_static(body.as_bytes())).expect("request is queued");
    let Ok(head) = conn.read_head().await else { return no_response };
    let retry_after = head.headers().get("retry-after").and_then(|value| value.to_str().ok());
    let retry_after = retry_after.map(String::from);
    let mut body = Vec::new();
    let complete = loop {
        match conn.read_chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    CallerResponse {
        status: head.status.as_u16(),
        body: String::from_utf8_lossy(&body).into_owned(),
        complete,
        close_delimited: conn.is_close_delimited(),
        retry_after,
    }
}

/// Queues a request with the default headers, an ID and a valid API key on a
/// connection that may have been used before.
pub fn queue_request(conn: &mut ClientConn, path: &str, id: &str, body: &'static str) {
    let head = request_head("POST", path, &[("x-api-key", "key"), ("request-id", id)]);
    conn.queue(head, Bytes::from_static(body.as_bytes())).expect("request is queued");
}

/// Head of a request with the default headers and `headers`.
pub fn request_head(method: &str, path: &str, headers: &[(&'static str, &str)]) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = Method::from_bytes(method.as_bytes()).expect("valid method");
    head.uri = path.parse().expect("valid path");
    let default_headers =
        [("host", "h"), ("request-id", "r-1"), ("deadline-ms", "8000"), ("token-count", "100,40")];
    for (name, value) in default_headers.iter().chain(headers) {
        let value = HeaderValue::from_str(value).expect("valid header value");
        head.headers.insert(HeaderName::from_static(name), value);
    }
    head
}
