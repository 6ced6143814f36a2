//! Accepts connections.

use std::rc::Rc;
use std::time::Duration;

use clementine_http1::ServerConn;
use clementine_process::http::close_listener;
use spdlog::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::shared::SharedState;

/// Delay after a failed `accept` call, for example when the process is out of
/// file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until the process is about to exit and serves each of them in
/// its own task. `component` is the prefix of log lines.
pub(crate) async fn accept_connections<F>(
    listener: TcpListener,
    shared: Rc<SharedState>,
    component: &'static str,
    serve: impl Fn(ServerConn, Rc<SharedState>) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let _listening = shared.closing.track();
    let serve_connection = |io: TcpStream| {
        let conn = ServerConn::new(io, &shared.codec)?;
        spawn_local(serve(conn, Rc::clone(&shared)));
        Ok(())
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.closing.wait_started() => break,
        };
        match accepted.and_then(|(io, _)| serve_connection(io)) {
            Ok(()) => {}
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => {
                debug!("{}: connection reset before it was accepted: {}", component, error);
            }
            Err(error) => {
                warn!("{}: accepting a connection failed: {}", component, error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    for (io, _) in close_listener(listener) {
        if let Err(error) = serve_connection(io) {
            debug!("{}: connection lost before it was served: {}", component, error);
        }
    }
}
