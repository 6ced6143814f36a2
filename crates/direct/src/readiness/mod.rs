//! Readiness endpoint that the load balancer polls.

use std::io;
use std::rc::Rc;

use actix_http::{Response, StatusCode};
use bytes::Bytes;
use clementine_http1::{ReadLimits, ServerConn};
use spdlog::debug;

use crate::shared::SharedState;

/// Serves the readiness checks on one connection until it is closed.
pub(crate) async fn serve_readiness(conn: ServerConn, shared: Rc<SharedState>) {
    if let Err(error) = serve_checks(conn, &shared).await {
        debug!("readiness: connection lost: {}", error);
    }
}

async fn serve_checks(mut conn: ServerConn, shared: &SharedState) -> io::Result<()> {
    let limits = ReadLimits::default();
    while conn.wait_request(&limits).await.is_ok() {
        if conn.read_request(&limits).await.is_err() {
            break;
        }
        let status =
            if shared.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        conn.send(Response::with_body(status, ()), &Bytes::new()).await?;
        if !conn.keeps_alive() {
            break;
        }
    }
    conn.close().await;
    Ok(())
}
