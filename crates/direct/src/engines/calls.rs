//! Calls to engines.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::RequestHead;
use bytes::Bytes;
use clementine_http1::Exchange;
use clementine_platform::engines::{
    EngineReport, OrderAnswer, PlaceOrder, RepathOrder, report_request,
};
use compact_str::{CompactString, ToCompactString};
use snafu::Snafu;
use tokio::time::timeout;

use crate::hub::Hub;

/// Time for one call to an engine.
pub(crate) const CALL_LIMIT: Duration = Duration::from_millis(800);
/// Time for the answer to an order, which comes before the order is done.
const ORDER_LIMIT: Duration = Duration::from_millis(300);
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
    hub: &Hub,
    engine: SocketAddr,
    limit: Duration,
) -> Result<EngineReport, CallError> {
    let call = async {
        let connected = Exchange::connect(engine, limit, &hub.codec).await;
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
    hub: &Hub,
    engine: SocketAddr,
    order: &PlaceOrder,
) -> Result<OrderAnswer, CallError> {
    give_order(hub, engine, order.request(engine).map_err(failed)?).await
}

/// Moves a request to another path, of which an engine is the first.
pub(crate) async fn change_path(
    hub: &Hub,
    engine: SocketAddr,
    order: &RepathOrder,
) -> Result<OrderAnswer, CallError> {
    give_order(hub, engine, order.request(engine).map_err(failed)?).await
}

async fn give_order(
    hub: &Hub,
    engine: SocketAddr,
    (head, body): (RequestHead, Bytes),
) -> Result<OrderAnswer, CallError> {
    let call = async {
        let connected = Exchange::connect(engine, ORDER_LIMIT, &hub.codec).await;
        let mut exchange = connected.map_err(failed)?;
        exchange.queue(head, body).map_err(failed)?;
        let head = exchange.read_head().await.map_err(failed)?;
        Ok(OrderAnswer::from(head.status))
    };
    timeout(ORDER_LIMIT, call).await.map_err(failed)?
}
