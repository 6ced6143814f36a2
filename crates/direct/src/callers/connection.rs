//! Serves the requests on a caller's connection.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{self, HeaderValue};
use actix_http::{ConnectionType, Response, StatusCode};
use bytes::Bytes;
use clementine_http1::{ReadError, ServerConn};
use spdlog::debug;
use tokio::time::sleep;

use super::admit::handle_request;
use crate::shared::SharedState;

/// Time between the start of the shutdown, from which the readiness check
/// fails, and the closing of idle connections. The load balancer needs this
/// time to send new requests to other instances.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2_500);

/// Time between the closing of the listeners and the closing of idle connections. A
/// caller that has just connected sends its request in this time.
const LAST_REQUEST_DELAY: Duration = Duration::from_millis(100);

/// `Retry-After` in seconds of a request for whose body there is no memory. Another instance
/// may have some.
const NO_MEMORY_RETRY_AFTER: &str = "1";

/// Serves a caller's connection until it is closed.
pub(crate) async fn serve_caller(mut conn: ServerConn, shared: Rc<SharedState>) {
    let _open = shared.closing.track();
    conn.set_body_budget(shared.body_budget.clone());
    match serve_requests(&mut conn, &shared).await {
        Ok(()) => conn.close().await,
        Err(error) => {
            debug!("callers: connection lost: {}", error);
            conn.abort();
        }
    }
}

async fn serve_requests(conn: &mut ServerConn, shared: &Rc<SharedState>) -> io::Result<()> {
    let mut is_new = true;
    loop {
        let limits = shared.read_limits();
        tokio::select! {
            // A request that has been received is answered.
            biased;
            waited = conn.wait_request(&limits) => if waited.is_err() { return Ok(()) },
            () = idle_close_due(shared, is_new) => return Ok(()),
        }
        is_new = false;
        let _in_progress = shared.drain.track();
        let message = match conn.read_request(&limits).await {
            Ok(message) => message,
            Err(error) => return send_read_error(conn, &error).await,
        };
        handle_request(conn, shared, message).await?;
        if !conn.keeps_alive() {
            return Ok(());
        }
    }
}

/// Waits until the shutdown has progressed so far that idle connections are closed. One
/// that has not carried a request yet may have been opened just now, and is closed only
/// when the process is about to exit.
async fn idle_close_due(shared: &SharedState, is_new: bool) {
    shared.drain.wait_started().await;
    let exit_due = async {
        shared.closing.wait_started().await;
        sleep(LAST_REQUEST_DELAY).await;
    };
    tokio::select! {
        () = exit_due => {}
        () = sleep(IDLE_CLOSE_DELAY), if !is_new => {}
    }
}

async fn send_read_error(conn: &mut ServerConn, error: &ReadError) -> io::Result<()> {
    let Some(status) = error.status().and_then(|status| StatusCode::from_u16(status).ok()) else {
        return Ok(());
    };
    debug!("callers: request could not be read, status={}: {}", status.as_u16(), error);
    let mut res = Response::with_body(status, ());
    if matches!(error, ReadError::NoMemory) {
        res.headers_mut()
            .insert(header::RETRY_AFTER, HeaderValue::from_static(NO_MEMORY_RETRY_AFTER));
    }
    res.head_mut().set_connection_type(ConnectionType::Close);
    conn.send(res, &Bytes::new()).await
}
