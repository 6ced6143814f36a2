//! Finds the failed engine of a stalled run from the engines' reports.

use std::rc::Rc;
use std::time::Duration;

use clementine_decide::fleet::Member;
use clementine_decide::ids::BackendId;
use clementine_decide::peers::{
    BackendHash, Condition, Sighting, SightingStep, recovery_check_interval,
};
use clementine_objects::Millis;
use clementine_platform::engines::EngineReport;
use rand::RngExt;
use spdlog::info;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::fetch_report;
use super::health::check_leaving;
use crate::shared::{SharedState, UrgentMessage};

/// Timeout of the report of an engine that may be down.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of the report that tells whether an engine on which others wait is
/// carrying out an order.
const BUSY_CHECK_TIMEOUT: Duration = Duration::from_millis(120);
/// Interval, before jitter, at which an entry on its own checks an engine that is
/// down for recovery.
const RECOVERY_CHECK_INTERVAL: Millis = Millis(400);

/// Asks the first engine of a stalled run which engine the run is waiting on,
/// and checks that engine.
pub(crate) async fn diagnose_stall(shared: Rc<SharedState>, first: BackendId, request: String) {
    let Some(report) = check_report(&shared, &first).await else { return };
    let stalled = report.stalled.iter().filter(|run| run.request_id == request.as_str());
    for run in stalled {
        let waiting_on = shared.fleet.borrow().by_address(run.waiting_on).cloned();
        if let Some(id) = waiting_on {
            info!("engines: request={} waits for backend={} says={}", request, id, first);
            spawn_local(check_blocking_engine(Rc::clone(&shared), id));
        }
    }
}

/// Marks an engine on which others wait as down, unless it accepts connections
/// and reports that it is carrying out an order. An engine that accepts
/// connections but is not busy cannot be reached by the engines that wait on it.
async fn check_blocking_engine(shared: Rc<SharedState>, id: BackendId) {
    if shared.is_paused(&id) {
        return;
    }
    let now = shared.now();
    let alive = match shared.fleet.borrow().get(&id) {
        Some(member) => member.is_recently_alive(now),
        None => return,
    };
    if alive {
        match fetch_report(&shared, &id, BUSY_CHECK_TIMEOUT).await {
            Ok(report) => {
                record_report(&shared, &id, &report);
                if report.busy {
                    return info!("engines: backend={} is carrying out an order, not down", id);
                }
            }
            // An engine that refuses the report is not down.
            Err(_) if shared.is_paused(&id) => return,
            Err(_) => {}
        }
    }
    report_down(&shared, &id, "stalled-run");
}

/// Checks an engine that failed a request: whether it is down, or is draining.
pub(crate) async fn check_backend(shared: Rc<SharedState>, id: BackendId) {
    if check_report(&shared, &id).await.is_some() {
        check_leaving(&shared, &id).await;
    }
}

/// Fetches an engine's report, and marks the engine as down if that fails.
/// Returns `None` also while another task does the same, or if the engine has asked
/// to be left alone.
async fn check_report(shared: &Rc<SharedState>, id: &BackendId) -> Option<EngineReport> {
    shared.fleet.borrow().get(id)?;
    if !shared.report_requests.borrow_mut().insert(id.clone()) {
        return None;
    }
    let fetched = fetch_report(shared, id, REPORT_TIMEOUT).await;
    shared.report_requests.borrow_mut().remove(id);
    match fetched {
        Ok(report) => {
            record_report(shared, id, &report);
            Some(report)
        }
        Err(error) => {
            info!("engines: backend={} report request failed: {}", id, error);
            if shared.is_paused(id) {
                return None;
            }
            mark_down(shared, id, "no-report");
            None
        }
    }
}

/// Marks an engine as down until it sends a report again, and tells the other
/// entries. The evidence must not be explained by a failure of this entry's own
/// network.
pub(super) fn report_down(shared: &Rc<SharedState>, id: &BackendId, reason: &'static str) {
    if mark_down(shared, id, reason) {
        publish(shared, id, Condition::Down);
    }
}

/// Marks an engine as down until it sends a report again. Returns whether it was up
/// before.
pub(crate) fn mark_down(shared: &Rc<SharedState>, id: &BackendId, reason: &'static str) -> bool {
    let changed = shared.set_down(id, reason);
    if changed {
        spawn_local(wait_for_recovery(Rc::clone(shared), id.clone()));
    }
    changed
}

/// Tells the other entries in which condition a backend server was found, unless
/// enough have reported the same.
fn publish(shared: &SharedState, id: &BackendId, condition: Condition) {
    let sighting = Sighting {
        backend: BackendHash::from(id),
        condition,
        observer: shared.settings.entry.clone(),
        within_domain: true,
    };
    let step = shared.sightings.borrow_mut().record(&sighting, shared.now());
    if step != SightingStep::Ignore {
        shared.outbox.push(UrgentMessage::Sighting(sighting));
    }
}

async fn wait_for_recovery(shared: Rc<SharedState>, id: BackendId) {
    loop {
        let live = shared.peers.borrow().live_count();
        let interval = recovery_check_interval(RECOVERY_CHECK_INTERVAL, live).duration();
        let jitter = shared.rng.borrow_mut().random_range(0.5..1.5);
        sleep(interval.mul_f64(jitter)).await;
        if !shared.fleet.borrow().get(&id).is_some_and(Member::is_down) {
            return;
        }
        if check_recovery(&shared, &id).await {
            publish(&shared, &id, Condition::Up);
        }
    }
}

/// Fetches the report of an engine that is marked as down, and marks it as up if
/// that succeeds. Returns whether it does.
pub(super) async fn check_recovery(shared: &Rc<SharedState>, id: &BackendId) -> bool {
    let down = shared.fleet.borrow().get(id).is_some_and(Member::is_down);
    if !down {
        return false;
    }
    let Ok(report) = fetch_report(shared, id, REPORT_TIMEOUT).await else { return false };
    record_report(shared, id, &report);
    let changed = shared.set_up(id);
    if changed {
        info!("engines: backend={} gives its report again, layers={:?}", id, report.layers);
    }
    changed
}

pub(super) fn record_report(shared: &SharedState, id: &BackendId, report: &EngineReport) {
    shared.record_layers(id, report.layers, report.orders_started);
    if let Some(member) = shared.fleet.borrow_mut().get_mut(id) {
        member.record_slowdown(report.slowdown_factor, shared.now());
    }
}
