//! Accepts connections.

use std::rc::Rc;
use std::time::Duration;

use clementine_http1::ServerConn;
use spdlog::{debug, warn};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::shared::SharedState;

/// Pause after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves each connection on its own until the process ends. `part` names the
/// part of the process in the log.
pub(crate) async fn accept<F>(
    listener: TcpListener,
    shared: Rc<SharedState>,
    part: &'static str,
    serve: impl Fn(ServerConn, Rc<SharedState>) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    loop {
        let accepted = listener.accept().await;
        match accepted.and_then(|(io, _)| ServerConn::new(io, &shared.codec)) {
            Ok(conn) => {
                spawn_local(serve(conn, Rc::clone(&shared)));
            }
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => {
                debug!("{}: a connection was lost at once: {}", part, error);
            }
            Err(error) => {
                warn!("{}: a connection can't be accepted: {}", part, error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
