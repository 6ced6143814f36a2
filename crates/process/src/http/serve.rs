//! HTTP/1 server that runs on the current thread.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{ConnectionType, HttpServiceBuilder, KeepAlive, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use clementine_net::{Acceptor, NetStream};
use clementine_objects::Millis;
use snafu::Snafu;
use spdlog::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::close_listener;
use crate::shutdown::Drain;

/// Delay after a failed accept, so that running out of file descriptors does
/// not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time between the start of the drain and the closing of idle connections. Callers
/// whose requests are on the way get a response, which announces that the connection
/// is closed.
pub const CLOSE_DELAY: Duration = Duration::from_millis(150);

/// Connection limits and timeouts of a server.
#[derive(Debug, Clone, Copy)]
pub struct HttpLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum time to receive a request head.
    pub head_timeout: Millis,
    /// Time after which an idle connection is closed.
    pub keep_alive_timeout: Millis,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_connections: 16_384,
            head_timeout: Millis(10_000),
            keep_alive_timeout: Millis(75_000),
        }
    }
}

/// The HTTP service could not be created.
#[derive(Debug, Snafu)]
#[snafu(display("cannot create the HTTP service"))]
pub struct ServeError;

/// Accepts connections and serves requests until `drain` starts. After that only
/// the connections in the backlog are accepted, responses announce the end of their
/// connection, and idle connections are closed after [`CLOSE_DELAY`]. Requests in
/// progress finish.
///
/// # Errors
///
/// Returns an error if the service cannot be created.
pub async fn serve_http<H, F>(
    listener: TcpListener,
    acceptor: Rc<Acceptor>,
    limits: HttpLimits,
    drain: Drain,
    handler: H,
) -> Result<(), ServeError>
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let handler = Rc::new(handler);
    let (drain_signal, drain_started) = (drain.clone(), drain.clone());
    let factory = HttpServiceBuilder::<NetStream, _, _, _>::default()
        .keep_alive(KeepAlive::Timeout(limits.keep_alive_timeout.duration()))
        .client_request_timeout(limits.head_timeout.duration())
        .graceful_shutdown_signal(move || {
            let drain = drain_signal.clone();
            async move {
                drain.wait_started().await;
                tokio::time::sleep(CLOSE_DELAY).await;
            }
        })
        .h1(fn_service(move |req: Request| {
            let (response, drain) = (handler(req), drain_started.clone());
            async move {
                let mut response = response.await;
                if drain.is_draining() {
                    response.head_mut().set_connection_type(ConnectionType::Close);
                }
                Ok::<_, Infallible>(response)
            }
        }));
    let service = factory.new_service(()).await.map_err(|()| ServeError)?;
    let service = Rc::new(service);
    let connections = Drain::default();
    let serve_connection = |stream: TcpStream, peer: SocketAddr| {
        if connections.in_progress() >= limits.max_connections {
            warn!(
                "http: connection rejected: limit of {} open connections reached",
                limits.max_connections
            );
            return;
        }
        let (service, acceptor) = (Rc::clone(&service), Rc::clone(&acceptor));
        let open = connections.track();
        spawn_local(async move {
            match acceptor.accept(stream).await {
                Ok(stream) => {
                    if let Err(error) = service.call((stream, Some(peer))).await {
                        debug!("http: connection error: {}", error);
                    }
                }
                Err(error) => debug!("http: TLS handshake failed: {}", error),
            }
            drop(open);
        });
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = drain.wait_started() => break,
        };
        if let Some((stream, peer)) = accepted_or_delay(accepted).await {
            serve_connection(stream, peer);
        }
    }
    for (stream, peer) in close_listener(listener) {
        serve_connection(stream, peer);
    }
    Ok(())
}

async fn accepted_or_delay(
    accepted: io::Result<(TcpStream, SocketAddr)>,
) -> Option<(TcpStream, SocketAddr)> {
    match accepted {
        Ok(accepted) => Some(accepted),
        Err(error) => {
            warn!("http: accepting a connection failed: {}", error);
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}
