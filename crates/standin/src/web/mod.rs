//! HTTP server and helpers shared by the stand-ins.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use clementine_net::Acceptor;
use clementine_process::http::{HttpLimits, bind_reusable, json_response, read_body, serve_http};
use clementine_process::shutdown::Drain;
use serde_json::{Value, json};
use snafu::ResultExt;

use crate::error::{BindSnafu, StandinError};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Prints the bound address and serves requests until the process is killed.
pub(crate) fn serve<H, F>(listen: SocketAddr, handler: H) -> Result<(), StandinError>
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    actix_rt::System::new().block_on(async move {
        let listener = bind_reusable(listen).context(BindSnafu { listen })?;
        println!("listening on {}", listener.local_addr().context(BindSnafu { listen })?);
        let plain = Rc::new(Acceptor::plain());
        let limits = HttpLimits::default();
        let served = serve_http(listener, plain, limits, Drain::default(), handler);
        if let Err(error) = served.await {
            eprintln!("clementine-standin: {error}");
        }
        Ok(())
    })
}

/// Reads a request body as JSON. Returns null if the body cannot be read or
/// parsed.
pub(crate) async fn json_body(req: &mut Request) -> Value {
    let body = read_body(req, MAX_BODY_BYTES).await.unwrap_or_default();
    serde_json::from_slice(&body).unwrap_or(Value::Null)
}

/// Reads a request body. Returns an empty body if it cannot be read.
pub(crate) async fn raw_body(req: &mut Request) -> bytes::Bytes {
    read_body(req, MAX_BODY_BYTES).await.unwrap_or_default()
}

/// Builds an error response in the OpenAI-compatible format.
pub(crate) fn error_response(status: StatusCode, message: &str) -> Response<BoxBody> {
    json_response(status, &json!({ "error": { "message": message, "type": "standin_error" } }))
}
