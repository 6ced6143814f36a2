//! Callers.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead};
use bytes::Bytes;
use clementine_http1::{ClientConn, ServerConn};

/// What a caller got.
#[derive(Debug)]
pub struct Answer {
    /// 0 where there was no answer.
    pub status: u16,
    pub body: String,
    /// Whether the body ended as it should.
    pub whole: bool,
    pub unframed: bool,
    pub retry_after: Option<String>,
}

/// Sends a request with the usual headers.
pub async fn ask(to: SocketAddr, method: &str, path: &str, body: &'static str) -> Answer {
    ask_with(to, method, path, body, &[("x-api-key", "key")]).await
}

pub async fn ask_with(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &'static str,
    headers: &[(&'static str, &str)],
) -> Answer {
    let nothing =
        Answer { status: 0, body: String::new(), whole: false, unframed: false, retry_after: None };
    let limit = Duration::from_secs(1);
    let Ok(mut exchange) = ClientConn::connect(to, limit, &ServerConn::codec_config()).await else {
        return nothing;
    };
    let mut head = RequestHead::default();
    head.method = Method::from_bytes(method.as_bytes()).expect("a method");
    head.uri = path.parse().expect("a path");
    let usual =
        [("host", "h"), ("request-id", "r-1"), ("deadline-ms", "8000"), ("token-count", "100,40")];
    for (name, value) in usual.iter().chain(headers) {
        let value = HeaderValue::from_str(value).expect("a value");
        head.headers.insert(HeaderName::from_static(name), value);
    }
    exchange.queue(head, Bytes::from_static(body.as_bytes())).expect("queued");
    let Ok(head) = exchange.read_head().await else { return nothing };
    let retry_after = head.headers().get("retry-after").and_then(|value| value.to_str().ok());
    let retry_after = retry_after.map(String::from);
    let mut body = Vec::new();
    let whole = loop {
        match exchange.read_chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    Answer {
        status: head.status.as_u16(),
        body: String::from_utf8_lossy(&body).into_owned(),
        whole,
        unframed: exchange.is_close_delimited(),
        retry_after,
    }
}
