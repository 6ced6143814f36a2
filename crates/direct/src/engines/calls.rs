//! Calls to engines.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::{RequestHead, ResponseHead};
use bytes::Bytes;
use clementine_http1::Exchange;
use clementine_platform::engines::{
    EngineReport, Health, OrderAnswer, PlaceOrder, RepathOrder, health_request, report_request,
};
use compact_str::{CompactString, ToCompactString};
use snafu::Snafu;
use tokio::time::timeout;

use crate::shared::SharedState;

/// Time for one call to an engine.
pub(crate) const CALL_LIMIT: Duration = Duration::from_millis(800);
/// Time for the answer to an order, which comes before the order is done.
const ORDER_LIMIT: Duration = Duration::from_millis(300);
/// Time for the answer to a health check.
const HEALTH_LIMIT: Duration = Duration::from_millis(300);
/// Largest report that is read, in bytes.
const REPORT_LIMIT: usize = 256 * 1024;

/// Why a call to an engine gave nothing.
#[derive(Debug, Snafu)]
#[snafu(display("{reason}"))]
pub(crate) struct CallError {
    reason: CompactString,
}

fn failed(error: impl std::fmt::Display) -> CallError {
    CallError { reason: error.to_compact_string() }
}

/// Asks an engine for its report.
pub(crate) async fn ask_report(
    shared: &SharedState,
    engine: SocketAddr,
    limit: Duration,
) -> Result<EngineReport, CallError> {
    let call = async {
        let connected = Exchange::connect(engine, limit, &shared.codec).await;
        read_report(connected.map_err(failed)?, engine).await
    };
    timeout(limit, call).await.map_err(failed)?
}

/// Asks an engine for its report on a connection to it.
pub(super) async fn read_report(
    mut exchange: Exchange,
    engine: SocketAddr,
) -> Result<EngineReport, CallError> {
    exchange.queue(report_request(engine), Bytes::new()).map_err(failed)?;
    exchange.read_head().await.map_err(failed)?;
    let body = exchange.read_body(REPORT_LIMIT).await.map_err(failed)?;
    EngineReport::decode(&body).map_err(failed)
}

/// Has an engine hold layers.
pub(crate) async fn place_layers(
    shared: &SharedState,
    engine: SocketAddr,
    order: &PlaceOrder,
) -> Result<OrderAnswer, CallError> {
    give_order(shared, engine, order.request(engine).map_err(failed)?).await
}

/// Moves a request to another path, of which an engine is the first.
pub(crate) async fn change_path(
    shared: &SharedState,
    engine: SocketAddr,
    order: &RepathOrder,
) -> Result<OrderAnswer, CallError> {
    give_order(shared, engine, order.request(engine).map_err(failed)?).await
}

async fn give_order(
    shared: &SharedState,
    engine: SocketAddr,
    (head, body): (RequestHead, Bytes),
) -> Result<OrderAnswer, CallError> {
    let answer = ask_head(shared, engine, ORDER_LIMIT, head, body).await?;
    Ok(OrderAnswer::from(answer.status))
}

/// Asks an engine for its health at a path of the configuration.
pub(super) async fn ask_health(
    shared: &SharedState,
    engine: SocketAddr,
    path: &str,
) -> Result<Health, CallError> {
    let request = health_request(engine, path).ok_or_else(|| failed("no path for the check"))?;
    let answer = ask_head(shared, engine, HEALTH_LIMIT, request, Bytes::new()).await?;
    Ok(Health::from(&answer))
}

/// Makes a call of which only the headers of the answer matter.
async fn ask_head(
    shared: &SharedState,
    engine: SocketAddr,
    limit: Duration,
    head: RequestHead,
    body: Bytes,
) -> Result<ResponseHead, CallError> {
    let call = async {
        let connected = Exchange::connect(engine, limit, &shared.codec).await;
        let mut exchange = connected.map_err(failed)?;
        exchange.queue(head, body).map_err(failed)?;
        exchange.read_head().await.map_err(failed)
    };
    timeout(limit, call).await.map_err(failed)?
}
