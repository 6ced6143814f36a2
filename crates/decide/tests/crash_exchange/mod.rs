//! Status messages with crash reports between the entries of a fleet.

use clementine_decide::ids::Tick;
use clementine_decide::peers::summary_targets;
use clementine_decide::quarantine::CrashLog;

/// Maximum number of reports in one message.
pub const REPORTS_PER_MESSAGE: usize = 8;

/// Sends the messages of one round: each entry to all entries of its domain, and to
/// some of each other domain.
pub fn exchange(domains: &mut [Vec<CrashLog>], round: u64, now: Tick) {
    let count = domains.len();
    for from in 0..count {
        for rank in 0..domains[from].len() {
            let reports = domains[from][rank].next_reports(REPORTS_PER_MESSAGE, now);
            let senders = domains[from].len();
            for (to, domain) in domains.iter_mut().enumerate() {
                let receivers: Vec<usize> = if to == from {
                    (0..senders).collect()
                } else {
                    summary_targets(rank, senders, domain.len(), round).collect()
                };
                for receiver in receivers {
                    for report in &reports {
                        domain[receiver].merge(report, now);
                    }
                }
            }
        }
    }
}
