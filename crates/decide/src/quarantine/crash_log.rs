//! Crashes of backend servers by request, merged over all entries.

use clementine_objects::Millis;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::recent_set::RecentSet;
use super::records::{CrashRecord, CrashRecords};
use super::{Fingerprint, QuarantineLimits};
use crate::fleet::BackendIncarnation;
use crate::ids::Tick;
use crate::peers::{MIN_REPORTS, least_reported};

/// What an entry knows of one request that was running when backend servers
/// crashed.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    #[serde_as(as = "serde_with::Bytes")]
    request: [u8; 16],
    /// Servers that crashed while they ran it.
    servers: Vec<BackendIncarnation>,
    /// Whether it has also completed.
    completed: bool,
    /// Time since the last crash.
    age: Millis,
}

impl CrashReport {
    /// The request that the report is about.
    pub const fn request(&self) -> Fingerprint {
        Fingerprint(u128::from_le_bytes(self.request))
    }

    /// The same report after some time.
    #[must_use]
    pub fn older_by(self, time: Millis) -> Self {
        Self { age: Millis(self.age.0.saturating_add(time.0)), ..self }
    }
}

#[derive(Debug, Clone)]
struct Crashes {
    /// At most [`QuarantineLimits::crashes`] servers, without duplicates.
    servers: Vec<BackendIncarnation>,
    completed: bool,
    last_crash: Tick,
    /// Number of reports that included this request in its present state.
    reported: u32,
}

impl CrashRecord for Crashes {
    fn last_crash(&self) -> Tick {
        self.last_crash
    }
}

/// Requests that were running when a backend server crashed, as any entry has
/// observed it.
///
/// Servers are kept instead of a count, so that the observations of several
/// entries can be merged in any order and more than once.
///
/// Invariant: at most `limits.capacity` requests are recorded.
#[derive(Debug)]
pub struct CrashLog {
    limits: QuarantineLimits,
    requests: CrashRecords<Crashes>,
    /// Requests that this entry has seen complete.
    completed: RecentSet,
}

impl Default for CrashLog {
    fn default() -> Self {
        Self::new(QuarantineLimits::default())
    }
}

impl CrashLog {
    /// Creates an empty log.
    pub fn new(limits: QuarantineLimits) -> Self {
        Self { limits, requests: CrashRecords::new(limits), completed: RecentSet::default() }
    }

    /// Records that a server crashed while it ran a request. Returns whether this
    /// was not known.
    pub fn record_crash(
        &mut self,
        request: Fingerprint,
        server: BackendIncarnation,
        now: Tick,
    ) -> bool {
        self.add_servers(request, &[server], now, now)
    }

    /// Records that a request completed, before or after servers crashed under it.
    pub fn record_completion(&mut self, request: Fingerprint) {
        self.completed.insert(request, self.limits.capacity);
        self.mark_completed(request);
    }

    fn mark_completed(&mut self, request: Fingerprint) {
        if let Some(crashes) = self.requests.get_mut(request)
            && !crashes.completed
        {
            crashes.completed = true;
            crashes.reported = 0;
        }
    }

    /// Merges the report of another entry. Returns whether it has put the request
    /// in quarantine.
    pub fn merge(&mut self, report: &CrashReport, now: Tick) -> bool {
        if report.age >= self.limits.retention {
            return false;
        }
        let request = report.request();
        let was_quarantined = self.is_quarantined(request, now);
        let last_crash = Tick(now.0.saturating_sub(report.age.0));
        self.add_servers(request, &report.servers, last_crash, now);
        if report.completed {
            self.mark_completed(request);
        }
        !was_quarantined && self.is_quarantined(request, now)
    }

    fn add_servers(
        &mut self,
        request: Fingerprint,
        servers: &[BackendIncarnation],
        last_crash: Tick,
        now: Tick,
    ) -> bool {
        let capacity = self.limits.crashes as usize;
        let completed = self.completed.contains(request);
        let empty = Crashes { servers: Vec::new(), completed, last_crash, reported: 0 };
        let crashes = self.requests.get_or_insert(request, empty, now);
        let known = crashes.servers.len();
        for server in servers {
            if crashes.servers.len() < capacity && !crashes.servers.contains(server) {
                crashes.servers.push(*server);
            }
        }
        let changed = crashes.servers.len() > known;
        if changed {
            crashes.last_crash = crashes.last_crash.max(last_crash);
            crashes.reported = 0;
        }
        changed
    }

    /// Whether a request is refused. One that has also completed is not the cause of
    /// the crashes.
    pub fn is_quarantined(&self, request: Fingerprint, now: Tick) -> bool {
        self.requests.get(request, now).is_some_and(|crashes| self.is_at_limit(crashes))
    }

    /// Whether one more crash would put a request in quarantine.
    pub fn is_near_quarantine(&self, request: Fingerprint, now: Tick) -> bool {
        let known = self.requests.get(request, now);
        let completed = known.is_some_and(|crashes| crashes.completed);
        let crashes = known.map_or(0, |crashes| crashes.servers.len());
        !completed && crashes + 1 >= self.limits.crashes as usize
    }

    /// Time for which a request is still refused, if it is.
    pub fn refused_for(&self, request: Fingerprint, now: Tick) -> Option<Millis> {
        let crashes =
            self.requests.get(request, now).filter(|crashes| self.is_at_limit(crashes))?;
        Some(crashes.last_crash.after(self.limits.retention).since(now))
    }

    /// Number of requests in quarantine.
    pub fn quarantined_count(&self) -> usize {
        self.requests.values().filter(|crashes| self.is_at_limit(crashes)).count()
    }

    /// What to report to other entries in the next message: at most `max`
    /// requests, those first that were reported least often. Requests in
    /// quarantine are reported for as long as they are recorded, so that an entry
    /// that has just started learns of them.
    pub fn next_reports(&mut self, max: usize, now: Tick) -> Vec<CrashReport> {
        let limit = self.limits.crashes as usize;
        let due = self.requests.iter_mut(now).filter(|(_, crashes)| {
            crashes.servers.len() >= limit || crashes.reported < MIN_REPORTS
        });
        let due = due.map(|(request, crashes)| (crashes.reported, (request, crashes)));
        let reports = least_reported(due, max).into_iter().map(|(request, crashes)| {
            crashes.reported = crashes.reported.saturating_add(1);
            report(request, crashes, now)
        });
        reports.collect()
    }

    /// What is known of one request.
    pub fn report_on(&self, request: Fingerprint, now: Tick) -> Option<CrashReport> {
        Some(report(request, self.requests.get(request, now)?, now))
    }

    fn is_at_limit(&self, crashes: &Crashes) -> bool {
        crashes.servers.len() >= self.limits.crashes as usize && !crashes.completed
    }
}

fn report(request: Fingerprint, crashes: &Crashes, now: Tick) -> CrashReport {
    CrashReport {
        request: request.0.to_le_bytes(),
        servers: crashes.servers.clone(),
        completed: crashes.completed,
        age: now.since(crashes.last_crash),
    }
}
