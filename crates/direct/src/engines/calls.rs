//! HTTP calls to engines.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::{RequestHead, ResponseHead, StatusCode};
use bytes::Bytes;
use clementine_decide::ids::BackendId;
use clementine_decide::signals::ResponseSource;
use clementine_http1::ClientConn;
use clementine_platform::engines::{
    EngineReport, Health, OrderResponse, PlaceOrder, RepathOrder, health_request, report_request,
    responding_server,
};
use clementine_platform::requests::response_signals;
use compact_str::{CompactString, ToCompactString};
use snafu::Snafu;
use tokio::time::timeout;

use crate::shared::SharedState;

/// Timeout of a call to an engine, unless a shorter one applies.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of the response to an order. Engines respond before they carry the
/// order out.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of a report in bytes.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// A call to an engine failed.
#[derive(Debug, Snafu)]
pub(crate) enum CallError {
    #[snafu(display("the engine is not listed"))]
    Unlisted,
    #[snafu(display("the engine has asked to be left alone"))]
    Paused,
    #[snafu(display("{reason}"))]
    Failed { reason: CompactString },
}

fn call_error(error: impl std::fmt::Display) -> CallError {
    CallError::Failed { reason: error.to_compact_string() }
}

/// Kind of a call to an engine, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Report,
    Order,
    HealthCheck,
}

impl CallKind {
    /// Name of the kind in metrics.
    const fn name(self) -> &'static str {
        match self {
            Self::Report => "report",
            Self::Order => "order",
            Self::HealthCheck => "health-check",
        }
    }
}

/// Begins a call to an engine: counts it, and returns the engine's address. Fails if
/// the engine has asked to be left alone.
fn begin_call(
    shared: &SharedState,
    engine: &BackendId,
    kind: CallKind,
) -> Result<SocketAddr, CallError> {
    let address = match shared.fleet.borrow().get(engine) {
        Some(member) => member.backend.address,
        None => return UnlistedSnafu.fail(),
    };
    let paused = shared.is_paused(engine);
    shared.metrics.count_engine_call(kind.name(), paused);
    if paused { PausedSnafu.fail() } else { Ok(address) }
}

/// Applies what an engine says in any response, unless the response is that of another
/// server.
fn apply_signals(shared: &SharedState, engine: &BackendId, response: &ResponseHead) {
    let other = responding_server(response).is_some_and(|server| server != *engine);
    if !other && response.status != StatusCode::MISDIRECTED_REQUEST {
        shared.apply_signals(engine, response_signals(response), ResponseSource::Entry);
    }
}

/// Fetches an engine's report over a new connection.
pub(crate) async fn fetch_report(
    shared: &SharedState,
    engine: &BackendId,
    limit: Duration,
) -> Result<EngineReport, CallError> {
    let address = begin_call(shared, engine, CallKind::Report)?;
    let call = async {
        let connected = ClientConn::connect(address, limit, &shared.codec).await;
        read_report(shared, connected.map_err(call_error)?, engine, address).await
    };
    timeout(limit, call).await.map_err(call_error)?
}

/// Fetches an engine's report over an open connection.
pub(super) async fn fetch_report_on(
    shared: &SharedState,
    conn: ClientConn,
    engine: &BackendId,
) -> Result<EngineReport, CallError> {
    let address = begin_call(shared, engine, CallKind::Report)?;
    let call = read_report(shared, conn, engine, address);
    timeout(CALL_TIMEOUT, call).await.map_err(call_error)?
}

async fn read_report(
    shared: &SharedState,
    mut conn: ClientConn,
    engine: &BackendId,
    address: SocketAddr,
) -> Result<EngineReport, CallError> {
    conn.queue(report_request(address), Bytes::new()).map_err(call_error)?;
    let head = conn.read_head().await.map_err(call_error)?;
    apply_signals(shared, engine, &head);
    let body = conn.read_body(MAX_REPORT_BYTES).await.map_err(call_error)?;
    EngineReport::decode(&body).map_err(call_error)
}

/// Orders an engine to load a range of layers.
pub(crate) async fn place_layers(
    shared: &SharedState,
    engine: &BackendId,
    order: &PlaceOrder,
) -> Result<OrderResponse, CallError> {
    let address = begin_call(shared, engine, CallKind::Order)?;
    send_order(shared, engine, address, order.request(address).map_err(call_error)?).await
}

/// Orders the first engine of a run's path to move the run to another path.
pub(crate) async fn change_path(
    shared: &SharedState,
    engine: &BackendId,
    order: &RepathOrder,
) -> Result<OrderResponse, CallError> {
    let address = begin_call(shared, engine, CallKind::Order)?;
    send_order(shared, engine, address, order.request(address).map_err(call_error)?).await
}

async fn send_order(
    shared: &SharedState,
    engine: &BackendId,
    address: SocketAddr,
    (head, body): (RequestHead, Bytes),
) -> Result<OrderResponse, CallError> {
    let response = fetch_head(shared, engine, address, ORDER_TIMEOUT, head, body).await?;
    Ok(OrderResponse::from(response.status))
}

/// Response to a health check.
#[derive(Debug)]
pub(super) struct HealthResponse {
    pub(super) health: Health,
    /// Id by which the server identifies itself.
    pub(super) server: Option<BackendId>,
}

/// Checks a server's health at the path that the configuration sets.
pub(super) async fn check_health(
    shared: &SharedState,
    engine: &BackendId,
    path: &str,
) -> Result<HealthResponse, CallError> {
    let address = begin_call(shared, engine, CallKind::HealthCheck)?;
    let request = health_request(address, path)
        .ok_or_else(|| call_error("the health check path is not a valid URI"))?;
    let response =
        fetch_head(shared, engine, address, HEALTH_TIMEOUT, request, Bytes::new()).await?;
    Ok(HealthResponse { health: Health::from(&response), server: responding_server(&response) })
}

/// Sends a request and returns the head of the response. The body is not read.
async fn fetch_head(
    shared: &SharedState,
    engine: &BackendId,
    address: SocketAddr,
    limit: Duration,
    head: RequestHead,
    body: Bytes,
) -> Result<ResponseHead, CallError> {
    let call = async {
        let connected = ClientConn::connect(address, limit, &shared.codec).await;
        let mut conn = connected.map_err(call_error)?;
        conn.queue(head, body).map_err(call_error)?;
        conn.read_head().await.map_err(call_error)
    };
    let response = timeout(limit, call).await.map_err(call_error)??;
    apply_signals(shared, engine, &response);
    Ok(response)
}
