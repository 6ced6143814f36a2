//! Watches one run from outside.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::fleet::Member;
use clementine_decide::ids::BackendId;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

use super::progress::Progress;
use super::route::StreamRoute;
use crate::engines::{inspect_run, reach_engines};
use crate::hub::{Hub, RequestContext};

/// Silence before the first event after which the run is inspected.
const INSPECT_FIRST: Duration = Duration::from_millis(350);
/// Silence between two events after which the run is inspected, as a multiple
/// of the usual pause between them, and its bounds.
const INSPECT_NEXT_FACTOR: f64 = 1.75;
const INSPECT_NEXT_AT_LEAST: Duration = Duration::from_millis(80);
const INSPECT_NEXT_AT_MOST: Duration = Duration::from_millis(160);
/// Silence before the first event after which another run is thought of.
const SWITCH_FIRST: Duration = Duration::from_millis(1_200);
/// Silence between two events after which another run is thought of.
const SWITCH_NEXT: Duration = Duration::from_millis(700);

/// Why a run needs help.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Trouble {
    /// A backend server of the route is down.
    Down(BackendId),
    /// Nothing has come for long.
    Silent,
}

impl Trouble {
    /// A word for the log.
    pub(super) const fn reason(&self) -> &'static str {
        match self {
            Self::Down(_) => "backend-down",
            Self::Silent => "silent",
        }
    }
}

/// Waits until a run needs help, not before a point in time. Has the run
/// inspected whenever nothing has come of it for some time.
pub(super) async fn watch(
    hub: &Rc<Hub>,
    ctx: &RequestContext,
    route: &RefCell<StreamRoute>,
    progress: &Progress,
    not_before: Instant,
) -> Trouble {
    sleep_until(not_before).await;
    let mut inspected_at = progress.last_at();
    loop {
        if let Some(down) = down_backend(hub, &route.borrow()) {
            return Trouble::Down(down);
        }
        let (inspect, switch) = limits(progress);
        let switch_at = progress.last_at() + switch;
        let inspect_at = progress.last_at().max(inspected_at) + inspect;
        tokio::select! {
            () = hub.backend_down.notified() => {}
            () = sleep_until(switch_at.min(inspect_at)) => {
                let now = Instant::now();
                if now >= progress.last_at() + switch {
                    return Trouble::Silent;
                }
                if now >= progress.last_at() + inspect {
                    inspected_at = now;
                    inspect_now(hub, ctx, &route.borrow());
                }
            }
        }
    }
}

fn inspect_now(hub: &Rc<Hub>, ctx: &RequestContext, route: &StreamRoute) {
    let request = ctx.req.id.to_string();
    spawn_local(inspect_run(Rc::clone(hub), route.first.clone(), request.clone()));
    if !route.path.is_empty() {
        let engines = route.backends().cloned().collect();
        spawn_local(reach_engines(Rc::clone(hub), engines, request));
    }
}

fn limits(progress: &Progress) -> (Duration, Duration) {
    if progress.run_has_events() {
        let inspect = progress.usual_pause().mul_f64(INSPECT_NEXT_FACTOR);
        (inspect.clamp(INSPECT_NEXT_AT_LEAST, INSPECT_NEXT_AT_MOST), SWITCH_NEXT)
    } else {
        (INSPECT_FIRST, SWITCH_FIRST)
    }
}

fn down_backend(hub: &Hub, route: &StreamRoute) -> Option<BackendId> {
    let fleet = hub.fleet.borrow();
    let mut down = route.backends().filter(|id| fleet.get(id).is_some_and(Member::is_down));
    down.next().cloned()
}
