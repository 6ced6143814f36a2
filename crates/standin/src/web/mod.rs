//! Serving and small responses of the stand-ins.

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

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Serves until the process is killed. Prints the bound address first.
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

/// The body of a request as JSON, null when it is none.
pub(crate) async fn json_body(req: &mut Request) -> Value {
    let body = read_body(req, MAX_BODY_BYTES).await.unwrap_or_default();
    serde_json::from_slice(&body).unwrap_or(Value::Null)
}

/// The body of a request, empty when it is broken.
pub(crate) async fn raw_body(req: &mut Request) -> bytes::Bytes {
    read_body(req, MAX_BODY_BYTES).await.unwrap_or_default()
}

/// An error response in the OpenAI-compatible shape.
pub(crate) fn error_response(status: StatusCode, message: &str) -> Response<BoxBody> {
    json_response(status, &json!({ "error": { "message": message, "type": "standin_error" } }))
}
