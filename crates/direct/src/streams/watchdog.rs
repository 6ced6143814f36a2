//! Detects stalled attempts and attempts whose backend servers are down.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::fleet::Member;
use clementine_decide::ids::BackendId;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

use super::progress::Progress;
use super::route::StreamRoute;
use crate::engines::{diagnose_stall, probe_engines};
use crate::shared::{RequestContext, SharedState};

/// Silence before the first event after which the run is inspected.
const FIRST_EVENT_INSPECT_DELAY: Duration = Duration::from_millis(350);
/// Silence between events after which the run is inspected, as a multiple of the
/// mean pause between events.
const INSPECT_DELAY_FACTOR: f64 = 1.75;
/// Minimum silence between events after which the run is inspected.
const MIN_INSPECT_DELAY: Duration = Duration::from_millis(80);
/// Maximum silence between events after which the run is inspected.
const MAX_INSPECT_DELAY: Duration = Duration::from_millis(160);
/// Silence before the first event after which another attempt is considered.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Silence between events after which another attempt is considered.
const NEXT_EVENT_TIMEOUT: Duration = Duration::from_millis(700);

/// Why an attempt needs to be recovered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Problem {
    /// A backend server of the route is down.
    BackendDown(BackendId),
    /// No event has arrived within the timeout.
    Silent,
}

impl Problem {
    /// Name of the problem in logs and metrics.
    pub(super) const fn reason(&self) -> &'static str {
        match self {
            Self::BackendDown(_) => "backend-down",
            Self::Silent => "silent",
        }
    }
}

/// Waits until `not_before`, and then until the attempt has a problem. Whenever no
/// event has arrived for some time, the run is inspected in the background, which
/// can mark its backend servers as down.
pub(super) async fn wait_for_problem(
    shared: &Rc<SharedState>,
    ctx: &RequestContext,
    route: &RefCell<StreamRoute>,
    progress: &Progress,
    not_before: Instant,
) -> Problem {
    sleep_until(not_before).await;
    let mut inspected_at = progress.last_activity();
    loop {
        if let Some(down) = down_backend(shared, &route.borrow()) {
            return Problem::BackendDown(down);
        }
        let (inspect_delay, timeout) = delays(progress);
        let timeout_at = progress.last_activity() + timeout;
        let inspect_at = progress.last_activity().max(inspected_at) + inspect_delay;
        tokio::select! {
            () = shared.backend_down.notified() => {}
            () = sleep_until(timeout_at.min(inspect_at)) => {
                // Events may have arrived during the sleep.
                let now = Instant::now();
                if now >= progress.last_activity() + timeout {
                    return Problem::Silent;
                }
                if now >= progress.last_activity() + inspect_delay {
                    inspected_at = now;
                    spawn_inspection(shared, ctx, &route.borrow());
                }
            }
        }
    }
}

fn spawn_inspection(shared: &Rc<SharedState>, ctx: &RequestContext, route: &StreamRoute) {
    let request_id = ctx.req.id.to_string();
    spawn_local(diagnose_stall(Rc::clone(shared), route.first.clone(), request_id.clone()));
    if !route.path.is_empty() {
        let engines = route.backends().cloned().collect();
        spawn_local(probe_engines(Rc::clone(shared), engines, request_id));
    }
}

/// Returns the silence after which the run is inspected, and the silence after
/// which another attempt is considered.
fn delays(progress: &Progress) -> (Duration, Duration) {
    if progress.attempt_has_events() {
        let inspect_delay = progress.mean_pause().mul_f64(INSPECT_DELAY_FACTOR);
        (inspect_delay.clamp(MIN_INSPECT_DELAY, MAX_INSPECT_DELAY), NEXT_EVENT_TIMEOUT)
    } else {
        (FIRST_EVENT_INSPECT_DELAY, FIRST_EVENT_TIMEOUT)
    }
}

fn down_backend(shared: &SharedState, route: &StreamRoute) -> Option<BackendId> {
    let fleet = shared.fleet.borrow();
    let mut down = route.backends().filter(|id| fleet.get(id).is_some_and(Member::is_down));
    down.next().cloned()
}
