//! Administration server.

use std::pin::Pin;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage as _, Request, Response, StatusCode};
use clementine_net::Acceptor;
use serde_json::Value;
use snafu::{ResultExt, Snafu};
use spdlog::{error, info};
use tokio::task::spawn_local;

use crate::http::{HttpLimits, bind_reusable, json_response, serve_http, text_response};
use crate::metrics::Metrics;
use crate::settings::AdminSettings;
use crate::shutdown::Drain;

/// Handler for process-specific administration endpoints. Resolves to `None`
/// when the path is unknown.
pub type AdminHandler =
    Rc<dyn Fn(Request) -> Pin<Box<dyn Future<Output = Option<Response<BoxBody>>>>>>;

/// Process state exposed by the administration server.
pub trait AdminProcess {
    /// Returns why the process is not ready, or `None` if it is ready.
    fn not_ready(&self) -> Option<String>;

    /// Returns a complete dump of the process state, without secrets.
    fn state(&self) -> Value;
}

/// The administration address cannot be bound.
#[derive(Debug, Snafu)]
#[snafu(display("cannot bind the administration address {listen}: {source}"))]
pub struct AdminError {
    listen: std::net::SocketAddr,
    source: std::io::Error,
}

/// Starts the administration server and returns its bound address. The server
/// runs until the process exits, including while the process drains.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn serve_admin<P: AdminProcess + 'static>(
    settings: &AdminSettings,
    metrics: Metrics,
    process: Rc<P>,
    handler: Option<AdminHandler>,
) -> Result<std::net::SocketAddr, AdminError> {
    let listen = settings.listen;
    let listener = bind_reusable(listen).context(AdminSnafu { listen })?;
    let address = listener.local_addr().context(AdminSnafu { listen })?;
    let token = settings.token.clone();
    let admin = Rc::new(Admin { metrics, process, handler });
    spawn_local(async move {
        let plain = Rc::new(Acceptor::plain());
        let limits = HttpLimits::default();
        let serve = serve_http(listener, plain, limits, Drain::default(), move |req| {
            let authorization = req.headers().get("authorization").and_then(|v| v.to_str().ok());
            let authorized =
                token.as_ref().is_none_or(|t| t.matches(authorization.unwrap_or_default()));
            let admin = Rc::clone(&admin);
            async move { admin.respond(req, authorized).await }
        });
        if let Err(error) = serve.await {
            error!("admin: {}", error);
        }
    });
    info!("admin: listening on {}", address);
    Ok(address)
}

struct Admin<P> {
    metrics: Metrics,
    process: Rc<P>,
    handler: Option<AdminHandler>,
}

impl<P: AdminProcess> Admin<P> {
    async fn respond(&self, req: Request, authorized: bool) -> Response<BoxBody> {
        let path = req.path().to_owned();
        if path == "/healthz" {
            return text_response(StatusCode::OK, "ok\n");
        }
        if path == "/readyz" {
            return self.readiness_response();
        }
        if !authorized {
            return text_response(
                StatusCode::UNAUTHORIZED,
                "a valid administration token is needed\n",
            );
        }
        match path.as_str() {
            "/metrics" => self.metrics_response(),
            "/state" => json_response(StatusCode::OK, &self.process.state()),
            _ => self.handle_other(req).await,
        }
    }

    fn readiness_response(&self) -> Response<BoxBody> {
        match self.process.not_ready() {
            None => text_response(StatusCode::OK, "ready\n"),
            Some(reason) => text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
        }
    }

    fn metrics_response(&self) -> Response<BoxBody> {
        let mut response = Response::build(StatusCode::OK);
        response.insert_header(("content-type", "text/plain; version=0.0.4"));
        response.body(self.metrics.text()).map_into_boxed_body()
    }

    async fn handle_other(&self, req: Request) -> Response<BoxBody> {
        let response = match &self.handler {
            Some(handler) => handler(req).await,
            None => None,
        };
        response.unwrap_or_else(|| text_response(StatusCode::NOT_FOUND, "no such page\n"))
    }
}
