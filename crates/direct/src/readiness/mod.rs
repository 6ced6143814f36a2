//! Answers the balancer's question whether callers may be sent here.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Response, StatusCode};
use bytes::Bytes;
use clementine_http1::{ReadLimits, ServerConn};
use spdlog::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::hub::Hub;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers the balancer until the process ends.
pub(crate) async fn serve_readiness(listener: TcpListener, hub: Rc<Hub>) {
    loop {
        match listener.accept().await {
            Ok((io, _)) => {
                spawn_local(serve(io, Rc::clone(&hub)));
            }
            Err(error) => {
                warn!("readiness: a connection can't be accepted: {}", error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(io: TcpStream, hub: Rc<Hub>) {
    if let Err(error) = answer_all(io, &hub).await {
        debug!("readiness: a connection was lost: {}", error);
    }
}

async fn answer_all(io: TcpStream, hub: &Hub) -> io::Result<()> {
    let mut conn = ServerConn::new(io, &hub.codec)?;
    let limits = ReadLimits::default();
    while conn.wait_request(&limits).await.is_ok() {
        if conn.read_request(&limits).await.is_err() {
            break;
        }
        let status = if hub.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        conn.send(Response::with_body(status, ()), &Bytes::new()).await?;
        if !conn.keeps_alive() {
            break;
        }
    }
    conn.close().await;
    Ok(())
}
