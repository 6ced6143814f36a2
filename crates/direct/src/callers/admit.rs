//! Routes and authenticates requests.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::outcome::ErrorKind;
use clementine_decide::prefixes::{PrefixAffinity, PromptPrefix};
use clementine_decide::quarantine::{Fingerprint, RunSuspects};
use clementine_decide::routing::{RequestKind, RouteRule, RoutingTable, WorkspaceRule};
use clementine_http1::{BufferedRequest, ServerConn};
use clementine_objects::Millis;
use clementine_platform::requests::CallerRequest;
use spdlog::info;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::{RequestError, send_error};
use crate::crashes::check_quarantine;
use crate::shared::{RequestContext, SharedState, request_cost};
use crate::{buffered, streams};

/// `Retry-After` of an entry that has no configuration yet, is shutting down or was
/// paused.
/// Short, because a retry during the shutdown reaches another instance.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time after the start of the shutdown for which new requests are accepted. A
/// later request could not complete before the process has to exit.
const SHUTDOWN_ACCEPT_PERIOD: Duration = Duration::from_millis(2_800);

/// Handles one request and sends the response.
pub(crate) async fn handle_request(
    conn: &mut ServerConn,
    shared: &Rc<SharedState>,
    message: BufferedRequest,
) -> io::Result<()> {
    let req = CallerRequest::new(message);
    let id = req.id.clone();
    let ctx = match admit(shared, req) {
        Ok(ctx) => ctx,
        Err(error) => {
            info!("request: id={} refused={}", id, error.kind.code());
            return send_error(conn, &id, error, shared.drain.is_draining()).await;
        }
    };
    tokio::select! {
        served = serve(conn, shared, &ctx) => served,
        () = shared.closing.wait_started() => cut_short(conn, &ctx).await,
    }
}

async fn serve(
    conn: &mut ServerConn,
    shared: &Rc<SharedState>,
    ctx: &RequestContext,
) -> io::Result<()> {
    match ctx.rule.kind {
        RequestKind::Stream { .. } => streams::serve(conn, shared, ctx).await,
        _ => buffered::serve(conn, shared, ctx).await,
    }
}

/// Ends a request that is in progress when the process is about to exit. The error tells
/// whether it may have been executed. A response that has begun is aborted, so that it
/// does not look complete.
async fn cut_short(conn: &mut ServerConn, ctx: &RequestContext) -> io::Result<()> {
    let (id, may_have_run) = (&ctx.req.id, ctx.may_have_run.get());
    info!("request: id={} cut short by the exit may_have_run={}", id, may_have_run);
    if conn.has_begun_response() {
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    let error = if may_have_run {
        RequestError::new(ErrorKind::DeadlineWhileRunning)
    } else {
        RequestError::with_retry_after(ErrorKind::ShuttingDown, RETRY_AFTER)
    };
    send_error(conn, id, error, true).await
}

/// Finds the route, workspace, pool and deadline of a request.
fn admit(shared: &SharedState, req: CallerRequest) -> Result<RequestContext, RequestError> {
    let arrived = Instant::now();
    let Some(table) = shared.routing_table() else {
        return Err(RequestError::with_retry_after(ErrorKind::NoBackend, RETRY_AFTER));
    };
    let too_late = shared.shutdown_elapsed().is_some_and(|since| since > SHUTDOWN_ACCEPT_PERIOD);
    if too_late || shared.closing.is_draining() {
        return Err(RequestError::with_retry_after(ErrorKind::ShuttingDown, RETRY_AFTER));
    }
    let path = req.head.uri.path();
    let rule = table.route(&req.host, path).ok_or(RequestError::new(ErrorKind::NotFound))?;
    let rule = Rc::clone(rule);
    let workspace = if rule.public { None } else { authenticate(&table, &req)? };
    let suspects = suspects(&req, workspace.as_deref());
    check_quarantine(shared, &req.id, &suspects)?;
    let pool = rule.pool_for(xxh3_64(req.id.as_bytes()));
    let pool = pool.ok_or(RequestError::new(ErrorKind::NoBackend))?.clone();
    let timeout = req.deadline.unwrap_or(rule.timeout).min(rule.timeout);
    // The request may have waited while the process was paused.
    let time_left = timeout.duration().saturating_sub(shared.pauses.max_wait().duration());
    if time_left.is_zero() && timeout > Millis(0) {
        return Err(RequestError::with_retry_after(ErrorKind::Overloaded, RETRY_AFTER));
    }
    let deadline = arrived + time_left;
    shared.retry_budgets.borrow_mut().record_request((&pool).into(), shared.now());
    let engine = table.pools.get(&pool).and_then(|spec| spec.engine.as_deref());
    let cost = request_cost(engine, req.prompt_size);
    let prefix = Rc::new(prefix(shared, &req, &rule));
    let ctx = RequestContext {
        req,
        rule,
        workspace,
        pool,
        cost,
        suspects,
        prefix,
        arrived,
        deadline,
        may_have_run: Cell::new(false),
    };
    shared.record_offered(&ctx);
    Ok(ctx)
}

/// Leading parts of the prompt for which affinity applies.
fn prefix(shared: &SharedState, req: &CallerRequest, rule: &RouteRule) -> PromptPrefix {
    if rule.sticky && shared.settings.prefix_affinity == PrefixAffinity::On {
        PromptPrefix::new(&req.leading_parts)
    } else {
        PromptPrefix::default()
    }
}

/// What may be the cause if a backend server crashes under a request. A public route
/// has no workspace.
fn suspects(req: &CallerRequest, workspace: Option<&WorkspaceRule>) -> RunSuspects {
    let workspace = workspace.map_or("", |workspace| workspace.id.as_str());
    let request = Fingerprint::of_request(workspace, req.head.uri.path(), &req.body);
    RunSuspects::new(request, req.shared_parts.clone())
}

/// Returns the workspace of the request's API key, or `None` if the
/// configuration does not require keys.
fn authenticate(
    table: &RoutingTable,
    req: &CallerRequest,
) -> Result<Option<Rc<WorkspaceRule>>, RequestError> {
    if !table.requires_api_key() {
        return Ok(None);
    }
    let found = req.api_key.as_deref().and_then(|key| table.workspace(key));
    found.cloned().map(Some).ok_or(RequestError::new(ErrorKind::InvalidToken))
}
