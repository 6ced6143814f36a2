//! Finds out which engine of a silent run is down.

use std::rc::Rc;
use std::time::Duration;

use clementine_decide::ids::BackendId;
use clementine_platform::engines::EngineReport;
use spdlog::info;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::ask_report;
use super::leaving::check_leaving;
use crate::shared::SharedState;

/// Time for an engine that is suspected to give its report.
const REPORT_LIMIT: Duration = Duration::from_millis(250);
/// Time for an engine that others wait for to say that it carries out an order.
const BUSY_LIMIT: Duration = Duration::from_millis(120);
/// Pause between two questions to an engine that is down.
const PROBE_PAUSE: Duration = Duration::from_millis(400);

/// Asks the first engine of a silent run what the run waits for, and checks
/// the engine that it names.
pub(crate) async fn inspect_run(shared: Rc<SharedState>, first: BackendId, request: String) {
    let Some(report) = question(&shared, &first).await else { return };
    let stalled = report.stalled.iter().filter(|run| run.request_id == request.as_str());
    for run in stalled {
        let at_fault = shared.fleet.borrow().by_address(run.waiting_on).cloned();
        if let Some(id) = at_fault {
            info!("engines: request={} waits for backend={} says={}", request, id, first);
            spawn_local(judge_stalling(Rc::clone(&shared), id));
        }
    }
}

/// Takes an engine for down that others wait for. One that takes connections may
/// be carrying out an order, by its own word, and then isn't down; if it is not,
/// the others can't reach it.
async fn judge_stalling(shared: Rc<SharedState>, id: BackendId) {
    let now = shared.now();
    let alive = match shared.fleet.borrow().get(&id) {
        Some(member) => member.is_recently_alive(now).then_some(member.backend.address),
        None => return,
    };
    if let Some(address) = alive
        && let Ok(report) = ask_report(&shared, address, BUSY_LIMIT).await
    {
        note_report(&shared, &id, &report);
        if report.busy {
            return info!("engines: backend={} carries out an order, not down", id);
        }
    }
    mark_down(&shared, &id, "stalled-run");
}

/// Checks a backend server that another process or an answer speaks ill of.
pub(crate) async fn check_backend(shared: Rc<SharedState>, id: BackendId) {
    if question(&shared, &id).await.is_some() {
        check_leaving(&shared, &id).await;
    }
}

/// Asks a backend server for its report; one that gives none is down. Gives
/// nothing also while the same question is under way.
async fn question(shared: &Rc<SharedState>, id: &BackendId) -> Option<EngineReport> {
    let address = shared.fleet.borrow().get(id)?.backend.address;
    if !shared.report_requests.borrow_mut().insert(id.clone()) {
        return None;
    }
    let answer = ask_report(shared, address, REPORT_LIMIT).await;
    shared.report_requests.borrow_mut().remove(id);
    match answer {
        Ok(report) => {
            note_report(shared, id, &report);
            Some(report)
        }
        Err(error) => {
            info!("engines: backend={} gives no report: {}", id, error);
            mark_down(shared, id, "no-report");
            None
        }
    }
}

/// Takes a backend server out of use until it gives its report again.
pub(super) fn mark_down(shared: &Rc<SharedState>, id: &BackendId, reason: &'static str) {
    if shared.set_down(id, reason) {
        spawn_local(probe(Rc::clone(shared), id.clone()));
    }
}

async fn probe(shared: Rc<SharedState>, id: BackendId) {
    loop {
        sleep(PROBE_PAUSE).await;
        let address = match shared.fleet.borrow().get(&id) {
            Some(member) if member.is_down() => member.backend.address,
            _ => return,
        };
        if let Ok(report) = ask_report(&shared, address, REPORT_LIMIT).await {
            note_report(&shared, &id, &report);
            if shared.set_up(&id) {
                info!("engines: backend={} gives its report again, layers={:?}", id, report.layers);
            }
            return;
        }
    }
}

pub(super) fn note_report(shared: &SharedState, id: &BackendId, report: &EngineReport) {
    if let Some(member) = shared.fleet.borrow_mut().get_mut(id) {
        member.apply_report(report.layers, report.orders_started);
        member.record_slowdown(report.slowdown_factor, shared.now());
    }
}
