//! Finds out what a request is and who may serve it.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::outcome::ErrorKind;
use clementine_decide::routing::{RequestKind, RoutingTable, WorkspaceRule};
use clementine_http1::{CallerMessage, ServerConn};
use clementine_objects::Millis;
use clementine_platform::requests::CallerRequest;
use spdlog::info;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::{Refusal, refuse};
use crate::shared::{RequestContext, SharedState};
use crate::{buffered, streams};

/// When to come back to an instance that has no configuration yet, or to
/// another one than this, which is stopping.
const ELSEWHERE: Duration = Duration::from_millis(100);
/// Time after the request to stop for which new requests are still taken. One
/// that comes later could not end before the process has to.
const TAKE_WHILE_STOPPING: Duration = Duration::from_millis(2_800);

/// Answers one request.
pub(crate) async fn answer(
    conn: &mut ServerConn,
    shared: &Rc<SharedState>,
    message: CallerMessage,
) -> io::Result<()> {
    let req = CallerRequest::new(message);
    let id = req.id.clone();
    match admit(shared, req) {
        Ok(ctx) if matches!(ctx.rule.kind, RequestKind::Stream { .. }) => {
            streams::serve(conn, shared, &ctx).await
        }
        Ok(ctx) => buffered::serve(conn, shared, &ctx).await,
        Err(refusal) => {
            info!("request: id={} refused={}", id, refusal.kind.code());
            refuse(conn, &id, refusal, shared.drain.is_draining()).await
        }
    }
}

fn admit(shared: &SharedState, req: CallerRequest) -> Result<RequestContext, Refusal> {
    let arrived = Instant::now();
    let Some(table) = shared.routing_table() else {
        return Err(Refusal::later(ErrorKind::NoBackend, ELSEWHERE));
    };
    if shared.shutdown_elapsed().is_some_and(|since| since > TAKE_WHILE_STOPPING) {
        return Err(Refusal::later(ErrorKind::ShuttingDown, ELSEWHERE));
    }
    let path = req.head.uri.path();
    let rule = table.route(&req.host, path).ok_or(Refusal::new(ErrorKind::NotFound))?;
    let rule = Rc::clone(rule);
    let workspace = if rule.public { None } else { workspace(&table, &req)? };
    let pool = rule.pool_for(xxh3_64(req.id.as_bytes()));
    let pool = pool.ok_or(Refusal::new(ErrorKind::NoBackend))?.clone();
    let wait = req.deadline.unwrap_or(rule.timeout).min(rule.timeout);
    let deadline = arrived + Millis::duration(wait);
    shared.retry_budgets.borrow_mut().record_request(&pool, shared.now());
    Ok(RequestContext { req, rule, workspace, pool, arrived, deadline })
}

fn workspace(
    table: &RoutingTable,
    req: &CallerRequest,
) -> Result<Option<Rc<WorkspaceRule>>, Refusal> {
    if !table.requires_api_key() {
        return Ok(None);
    }
    let found = req.api_key.as_deref().and_then(|key| table.workspace(key));
    found.cloned().map(Some).ok_or(Refusal::new(ErrorKind::InvalidToken))
}
