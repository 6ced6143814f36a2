//! Refusal of requests that have crashed backend servers, also of those that other
//! entries have seen.

use clementine_decide::outcome::ErrorKind;
use clementine_decide::quarantine::{CrashReport, Fingerprint};
use spdlog::warn;

use crate::callers::RequestError;
use crate::shared::{SharedState, UrgentMessage};

/// Whether a request is refused because of the servers that have crashed while
/// they ran it.
pub(crate) fn is_quarantined(shared: &SharedState, content: Fingerprint) -> bool {
    shared.crash_log.borrow().is_quarantined(content, shared.now())
}

/// The error for a request in quarantine that has not been executed.
pub(crate) fn quarantine_error(shared: &SharedState, content: Fingerprint) -> Option<RequestError> {
    let refused_for = shared.crash_log.borrow().refused_for(content, shared.now())?;
    Some(RequestError::with_retry_after(ErrorKind::SuspectedCrash, refused_for.duration()))
}

/// Merges what another entry knows of requests that crash servers. A request that
/// this puts in quarantine is passed on at once.
pub(crate) fn merge_crashes(shared: &SharedState, reports: &[CrashReport]) {
    for report in reports {
        if !shared.crash_log.borrow_mut().merge(report, shared.now()) {
            continue;
        }
        if let Some(merged) = shared.crash_log.borrow().report_on(report.request(), shared.now()) {
            announce(shared, &merged, "reported");
        }
    }
}

/// Logs that a request has been put in quarantine, and tells the other entries.
pub(super) fn announce(shared: &SharedState, report: &CrashReport, reason: &'static str) {
    warn!("crashes: content={} in quarantine reason={}", report.request(), reason);
    shared.metrics.count_quarantined();
    shared.outbox.push(UrgentMessage::Quarantined(report.clone()));
}
