//! Refusal of requests that have crashed backend servers, or that contain a part of a
//! prompt that has, also as other entries have seen it.

use std::rc::Rc;
use std::time::Duration;

use clementine_decide::outcome::ErrorKind;
use clementine_decide::quarantine::{
    Admission, CrashEvidence, CrashReport, Refusal, RunSuspects, Suspect, SuspectChange,
};
use clementine_objects::Millis;
use rand::RngExt;
use spdlog::{info, warn};
use tokio::task::spawn_local;

use super::run::Run;
use super::saved::{save, save_again};
use crate::callers::RequestError;
use crate::shared::{RequestContext, SharedState, UrgentMessage};

/// Mean interval at which all entries together let a request through to learn whether
/// a part that is refused is the cause of crashes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Whether a request is not sent again because of the servers that have crashed while
/// they ran it or another one with a part of its prompt.
pub(crate) fn is_quarantined(shared: &SharedState, suspects: &RunSuspects) -> bool {
    shared.crash_log.borrow().is_quarantined(suspects, shared.now())
}

/// Decides whether a request that has just arrived may be sent.
///
/// # Errors
///
/// Returns the error for a request in quarantine.
pub(crate) fn check_quarantine(
    shared: &SharedState,
    id: &str,
    suspects: &RunSuspects,
) -> Result<(), RequestError> {
    let interval = probe_interval(shared);
    let admission = shared.crash_log.borrow_mut().admit(suspects, shared.now(), interval);
    match admission {
        Admission::Admitted => Ok(()),
        Admission::Probe(suspect) => {
            info!("crashes: request={} {} let through as a probe", id, suspect);
            shared.metrics.count_quarantine_probe();
            Ok(())
        }
        Admission::Refused(refusal) => {
            info!("crashes: request={} refused for {}", id, refusal.suspect);
            Err(quarantine_error(&refusal))
        }
    }
}

/// The error for a request in quarantine that has been admitted before and has not been
/// executed. Takes no turn of a probe, because the request is not sent again.
pub(crate) fn late_quarantine_error(
    shared: &SharedState,
    ctx: &RequestContext,
) -> Option<RequestError> {
    let refusal = shared.crash_log.borrow().refusal(&ctx.suspects, shared.now())?;
    Some(quarantine_error(&refusal))
}

fn quarantine_error(refusal: &Refusal) -> RequestError {
    RequestError::with_retry_after(ErrorKind::SuspectedCrash, refusal.retry_delay.duration())
}

/// Interval between two probes of this entry. Random, so that the entries take turns
/// without agreeing on it.
fn probe_interval(shared: &SharedState) -> Millis {
    // Includes this entry.
    let entries = shared.peers.borrow().live_count();
    let mean = PROBE_INTERVAL * u32::try_from(entries).unwrap_or(u32::MAX);
    Millis::from(mean.mul_f64(shared.rng.borrow_mut().random_range(0.0..2.0)))
}

/// Records that the server of a run crashed, or may have.
pub(super) fn record_crash(shared: &Rc<SharedState>, run: &Run, evidence: CrashEvidence) {
    let now = shared.now();
    let recorded =
        shared.crash_log.borrow_mut().record_crash(&run.suspects, run.server, evidence, now);
    if !recorded.is_new {
        return;
    }
    shared.metrics.count_crash();
    info!(
        "crashes: request={} {} backend={} crashed evidence={:?}",
        run.request, run.suspects, run.backend, evidence
    );
    tell_changes(shared, &recorded.changes);
}

/// Records that a request completed.
pub(crate) fn record_completion(shared: &Rc<SharedState>, ctx: &RequestContext) {
    let mut crash_log = shared.crash_log.borrow_mut();
    let changes = crash_log.record_completion(&ctx.suspects, shared.now());
    drop(crash_log);
    tell_changes(shared, &changes);
}

/// Records that the response to a request has begun.
pub(crate) fn record_response_begun(shared: &Rc<SharedState>, ctx: &RequestContext) {
    let mut crash_log = shared.crash_log.borrow_mut();
    let changes = crash_log.record_response_begun(ctx.suspects.parts(), shared.now());
    drop(crash_log);
    tell_changes(shared, &changes);
}

/// Merges what another entry knows of suspects. A suspect that this puts in
/// quarantine is passed on at once.
pub(crate) fn merge_crashes(shared: &Rc<SharedState>, reports: &[CrashReport]) {
    for report in reports {
        if !shared.crash_log.borrow_mut().merge(report, shared.now()) {
            continue;
        }
        if let Some(merged) = shared.crash_log.borrow().report_on(report.suspect(), shared.now()) {
            announce(shared, &merged, "reported");
            save_again(shared, merged.suspect());
        }
    }
}

/// Tells the other entries what this entry has seen itself, and saves what is refused
/// from now on.
fn tell_changes(shared: &Rc<SharedState>, changes: &[SuspectChange]) {
    for change in changes {
        let report = shared.crash_log.borrow().report_on(change.suspect(), shared.now());
        let Some(report) = report else { continue };
        match change {
            SuspectChange::Quarantined(_) => {
                announce(shared, &report, "observed");
                spawn_local(save(Rc::clone(shared), report.suspect()));
            }
            SuspectChange::Advanced(_) => shared.outbox.push(UrgentMessage::Crashes(report)),
            SuspectChange::Cleared(suspect) => {
                info!("crashes: {} cleared, a response has begun", suspect);
                shared.outbox.push(UrgentMessage::Crashes(report));
            }
        }
    }
}

/// Logs that a suspect has been put in quarantine, and tells the other entries.
fn announce(shared: &SharedState, report: &CrashReport, reason: &'static str) {
    warn!("crashes: {} in quarantine reason={}", report.suspect(), reason);
    match report.suspect() {
        Suspect::Request(_) => shared.metrics.count_quarantined_request(),
        Suspect::Part(_) => shared.metrics.count_quarantined_part(),
    }
    shared.outbox.push(UrgentMessage::Crashes(report.clone()));
}
