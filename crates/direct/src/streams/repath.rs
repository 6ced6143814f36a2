//! Moves a run that goes on to another path.

use std::cell::RefCell;
use std::rc::Rc;

use clementine_decide::ids::BackendId;
use clementine_platform::engines::{OrderAnswer, RepathOrder};
use spdlog::info;

use super::progress::Progress;
use super::route::{StreamRoute, describe};
use crate::engines::change_path;
use crate::hub::{Hub, RequestContext};

/// Moves a run away from an engine that is down, if the first engine goes on
/// and the others have room; tells whether the run goes on. The run's events
/// come on the same connection as before.
pub(super) async fn repath(
    hub: &Rc<Hub>,
    ctx: &RequestContext,
    route: &RefCell<StreamRoute>,
    progress: &Progress,
    down: &BackendId,
) -> bool {
    if route.borrow().first == *down {
        return false;
    }
    let Some(moved) = StreamRoute::around(hub, ctx, &route.borrow(), progress.events(), down)
    else {
        return false;
    };
    let order = RepathOrder { request_id: ctx.req.id.clone(), path: moved.path.clone() };
    let answer = change_path(hub, moved.address, &order).await;
    info!(
        "stream: id={} repath away from backend={} answer={:?} silent_ms={} path={}",
        ctx.req.id,
        down,
        answer,
        progress.last_at().elapsed().as_millis(),
        describe(&moved.path, hub)
    );
    let moved_on = matches!(answer, Ok(OrderAnswer::Begun | OrderAnswer::Done));
    if moved_on {
        route.replace(moved);
    }
    moved_on
}
