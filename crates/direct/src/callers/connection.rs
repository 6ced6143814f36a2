//! Reads the requests of one caller's connection.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{ConnectionType, Response, StatusCode};
use bytes::Bytes;
use clementine_http1::{ReadError, ServerConn};
use spdlog::debug;
use tokio::time::sleep;

use super::admit::answer;
use crate::shared::SharedState;

/// Serves one caller's connection to its end.
pub(crate) async fn serve_caller(mut conn: ServerConn, shared: Rc<SharedState>) {
    match serve_requests(&mut conn, &shared).await {
        Ok(()) => conn.close().await,
        Err(error) => debug!("callers: a connection was lost: {}", error),
    }
}

async fn serve_requests(conn: &mut ServerConn, shared: &Rc<SharedState>) -> io::Result<()> {
    loop {
        let limits = shared.read_limits();
        tokio::select! {
            waited = conn.wait_request(&limits) => if waited.is_err() { return Ok(()) },
            () = leave_idle(shared) => return Ok(()),
        }
        let _in_progress = shared.drain.enter();
        let message = match conn.read_request(&limits).await {
            Ok(message) => message,
            Err(error) => return reject(conn, &error).await,
        };
        answer(conn, shared, message).await?;
        if !conn.keeps_alive() {
            return Ok(());
        }
    }
}

/// Waits until connections without a request are to be closed: the balancer
/// needs some time to send new ones elsewhere.
async fn leave_idle(shared: &SharedState) {
    shared.drain.started().await;
    sleep(LEAVE_NOTICE).await;
}

/// Time between failing the readiness check and closing idle connections.
const LEAVE_NOTICE: Duration = Duration::from_millis(2_500);

async fn reject(conn: &mut ServerConn, error: &ReadError) -> io::Result<()> {
    let Some(status) = error.status().and_then(|status| StatusCode::from_u16(status).ok()) else {
        return Ok(());
    };
    debug!("callers: answered {} as {}", status.as_u16(), error);
    let mut res = Response::with_body(status, ());
    res.head_mut().set_connection_type(ConnectionType::Close);
    conn.send(res, &Bytes::new()).await
}
