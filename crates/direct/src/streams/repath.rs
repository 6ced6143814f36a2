//! Moves a run to another path without interrupting it.

use std::cell::RefCell;
use std::rc::Rc;

use clementine_decide::ids::BackendId;
use clementine_platform::engines::{OrderResponse, RepathOrder};
use spdlog::info;

use super::progress::Progress;
use super::route::{StreamRoute, format_path};
use crate::engines::change_path;
use crate::shared::{RequestContext, SharedState};

/// Moves a run to a path that avoids an engine that is down. Requires that the
/// first engine is still up, because the run's events keep arriving on the
/// connection to it, and that other engines have capacity. Returns whether the run
/// continues.
pub(super) async fn repath(
    shared: &Rc<SharedState>,
    ctx: &RequestContext,
    route: &RefCell<StreamRoute>,
    progress: &Progress,
    down: &BackendId,
) -> bool {
    if route.borrow().first == *down {
        return false;
    }
    let Some(rerouted) =
        StreamRoute::around(shared, ctx, &route.borrow(), progress.events_sent(), down)
    else {
        return false;
    };
    let order = RepathOrder { request_id: ctx.req.id.clone(), path: rerouted.path.clone() };
    let response = change_path(shared, &rerouted.first, &order).await;
    info!(
        "stream: id={} repath away from backend={} answer={:?} silent_ms={} path={}",
        ctx.req.id,
        down,
        response,
        progress.last_activity().elapsed().as_millis(),
        format_path(&rerouted.path, shared)
    );
    let accepted = matches!(response, Ok(OrderResponse::Begun | OrderResponse::Done));
    if accepted {
        route.replace(rerouted);
    }
    accepted
}
