//! HTTP calls to engines.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{RequestHead, ResponseHead, StatusCode};
use bytes::Bytes;
use clementine_decide::ids::BackendId;
use clementine_decide::signals::ResponseSource;
use clementine_http1::{ClientConn, ConnectError};
use clementine_platform::engines::{
    EngineReport, Health, OrderResponse, PlaceOrder, RepathOrder, health_request, report_request,
    responding_server,
};
use clementine_platform::requests::{CallTarget, response_signals};
use compact_str::{CompactString, ToCompactString, format_compact};
use snafu::Snafu;
use tokio::time::timeout;

use super::identity::doubt_identity;
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
    #[snafu(display("no process listens on its address"))]
    NoListener,
    #[snafu(display("another server has its address"))]
    OtherServer,
    #[snafu(display("{reason}"))]
    Failed { reason: CompactString },
}

impl From<ConnectError> for CallError {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::Refused { .. } => Self::NoListener,
            ConnectError::TimedOut => call_error(error),
        }
    }
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

/// Begins a call to an engine: counts it, and returns where it goes. Fails if the engine
/// has asked to be left alone.
fn begin_call<'a>(
    shared: &SharedState,
    engine: &'a BackendId,
    kind: CallKind,
) -> Result<CallTarget<'a>, CallError> {
    let address = match shared.fleet.borrow().get(engine) {
        Some(member) => member.backend.address,
        None => return UnlistedSnafu.fail(),
    };
    let paused = shared.is_paused(engine);
    shared.metrics.count_engine_call(kind.name(), paused);
    if paused { PausedSnafu.fail() } else { Ok(CallTarget { id: engine, address }) }
}

/// Applies what an engine says in any response. Fails if the response is that of another
/// server, which has the engine's address now.
fn apply_signals(
    shared: &Rc<SharedState>,
    engine: &BackendId,
    response: &ResponseHead,
) -> Result<(), CallError> {
    let other = responding_server(response).is_some_and(|server| server != *engine);
    if other || response.status == StatusCode::MISDIRECTED_REQUEST {
        doubt_identity(shared, engine);
        return OtherServerSnafu.fail();
    }
    shared.apply_signals(engine, response_signals(response), ResponseSource::Entry);
    Ok(())
}

/// Fetches an engine's report over a new connection.
pub(crate) async fn fetch_report(
    shared: &Rc<SharedState>,
    engine: &BackendId,
    limit: Duration,
) -> Result<EngineReport, CallError> {
    let target = begin_call(shared, engine, CallKind::Report)?;
    let call = async {
        let conn = ClientConn::connect(target.address, limit, &shared.codec).await?;
        read_report(shared, conn, target).await
    };
    timeout(limit, call).await.map_err(call_error)?
}

/// Fetches an engine's report over an open connection.
pub(super) async fn fetch_report_on(
    shared: &Rc<SharedState>,
    conn: ClientConn,
    engine: &BackendId,
) -> Result<EngineReport, CallError> {
    let target = begin_call(shared, engine, CallKind::Report)?;
    let call = read_report(shared, conn, target);
    timeout(CALL_TIMEOUT, call).await.map_err(call_error)?
}

async fn read_report(
    shared: &Rc<SharedState>,
    mut conn: ClientConn,
    target: CallTarget<'_>,
) -> Result<EngineReport, CallError> {
    conn.queue(report_request(target), Bytes::new()).map_err(call_error)?;
    let head = conn.read_head().await.map_err(call_error)?;
    apply_signals(shared, target.id, &head)?;
    if !head.status.is_success() {
        return Err(call_error(format_compact!("status {}", head.status)));
    }
    let body = conn.read_body(MAX_REPORT_BYTES).await.map_err(call_error)?;
    EngineReport::decode(&body).map_err(call_error)
}

/// Orders an engine to load a range of layers.
pub(crate) async fn place_layers(
    shared: &Rc<SharedState>,
    engine: &BackendId,
    order: &PlaceOrder,
) -> Result<OrderResponse, CallError> {
    let target = begin_call(shared, engine, CallKind::Order)?;
    send_order(shared, target, order.request(target).map_err(call_error)?).await
}

/// Orders the first engine of a run's path to move the run to another path.
pub(crate) async fn change_path(
    shared: &Rc<SharedState>,
    engine: &BackendId,
    order: &RepathOrder,
) -> Result<OrderResponse, CallError> {
    let target = begin_call(shared, engine, CallKind::Order)?;
    send_order(shared, target, order.request(target).map_err(call_error)?).await
}

async fn send_order(
    shared: &Rc<SharedState>,
    target: CallTarget<'_>,
    (head, body): (RequestHead, Bytes),
) -> Result<OrderResponse, CallError> {
    let response = fetch_head(shared, target, ORDER_TIMEOUT, head, body).await?;
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
    shared: &Rc<SharedState>,
    engine: &BackendId,
    path: &str,
) -> Result<HealthResponse, CallError> {
    let target = begin_call(shared, engine, CallKind::HealthCheck)?;
    let request = health_request(target, path)
        .ok_or_else(|| call_error("the health check path is not a valid URI"))?;
    let response = fetch_head(shared, target, HEALTH_TIMEOUT, request, Bytes::new()).await?;
    Ok(HealthResponse { health: Health::from(&response), server: responding_server(&response) })
}

/// Sends a request and returns the head of the response. The body is not read.
async fn fetch_head(
    shared: &Rc<SharedState>,
    target: CallTarget<'_>,
    limit: Duration,
    head: RequestHead,
    body: Bytes,
) -> Result<ResponseHead, CallError> {
    let call = async {
        let mut conn = ClientConn::connect(target.address, limit, &shared.codec).await?;
        conn.queue(head, body).map_err(call_error)?;
        conn.read_head().await.map_err(call_error)
    };
    let response = timeout(limit, call).await.map_err(call_error)??;
    apply_signals(shared, target.id, &response)?;
    Ok(response)
}
