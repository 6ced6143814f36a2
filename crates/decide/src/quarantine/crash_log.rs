//! Evidence for and against suspects, merged over all entries.

use clementine_objects::Millis;

use super::evidence::{Crash, CrashEvidence};
use super::recent_responses::RecentResponses;
use super::records::CrashRecords;
use super::suspect_record::SuspectRecord;
use super::verdict::{Admission, RecordedCrash, Refusal, SuspectChange};
use super::{CrashReport, Fingerprint, QuarantineLimits, RunSuspects, Suspect, SuspectSlot};
use crate::fleet::BackendIncarnation;
use crate::ids::{PromptPart, Tick};
use crate::peers::{MIN_REPORTS, least_reported};

/// Number of certain crashes from which on a part is not tried any more, unless
/// another one explains them as well.
const MAX_PROBED_CRASHES: usize = 5;
/// Retry delay of a request that is refused for a part that is being tried.
const PROBED_RETRY_DELAY: Millis = Millis(2_000);
/// Number of crashes of a part without a response from which on other entries are told of
/// each at once.
const MIN_URGENT_CRASHES: usize = 2;

/// Maximum number of suspects that are saved in one row.
const MAX_SAVED_PER_SLOT: usize = 16;

/// How well a suspect explains the crashes under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Explanation {
    /// A part that is not in the request explains these crashes and others.
    Worse,
    /// A part that is not in the request explains them as well.
    Equal,
    /// No other part does.
    Only,
}

/// Evidence for and against the requests and parts of prompts that were running when
/// backend servers crashed, as any entry has observed it.
///
/// Servers are kept instead of a count, so that the observations of several
/// entries can be merged in any order and more than once. Agents keep a log as well, and
/// exchange what they know of single requests with the entries that call them.
///
/// Invariant: at most `limits.capacity` suspects are recorded.
#[derive(Debug)]
pub struct CrashLog {
    limits: QuarantineLimits,
    suspects: CrashRecords<Suspect, SuspectRecord>,
    /// Requests that this entry has seen complete.
    completed_requests: RecentResponses,
    /// Parts for which this entry has seen a response begin.
    parts_with_response: RecentResponses,
}

impl Default for CrashLog {
    fn default() -> Self {
        Self::new(QuarantineLimits::default())
    }
}

impl CrashLog {
    /// Creates an empty log.
    pub fn new(limits: QuarantineLimits) -> Self {
        Self {
            limits,
            suspects: CrashRecords::new(limits),
            completed_requests: RecentResponses::default(),
            parts_with_response: RecentResponses::default(),
        }
    }

    /// Records that a server crashed, or may have, under a run.
    pub fn record_crash(
        &mut self,
        suspects: &RunSuspects,
        server: BackendIncarnation,
        evidence: CrashEvidence,
        now: Tick,
    ) -> RecordedCrash {
        let crash = Crash { server, evidence, at: now };
        let mut recorded = RecordedCrash { is_new: false, changes: Vec::new() };
        for suspect in suspects.iter() {
            let was_quarantined = self.is_at_limit(suspect, now);
            let record = self.record(suspect, now);
            record.began |= suspects.has_begun();
            if !record.add(crash) {
                continue;
            }
            recorded.is_new = true;
            if !was_quarantined && self.is_at_limit(suspect, now) {
                recorded.changes.push(SuspectChange::Quarantined(suspect));
            } else if self.is_urgent(suspect, now) {
                recorded.changes.push(SuspectChange::Advanced(suspect));
            }
        }
        recorded
    }

    /// Takes back that a server may have crashed, because it responds.
    pub fn withdraw_crash(&mut self, suspects: &RunSuspects, server: BackendIncarnation) {
        for suspect in suspects.iter() {
            if let Some(record) = self.suspects.get_mut(suspect) {
                record.crashes.retain(|crash| {
                    crash.server != server || crash.evidence > CrashEvidence::Silent
                });
            }
        }
    }

    /// Records that a request completed, before or after servers crashed under it.
    pub fn record_completion(&mut self, suspects: &RunSuspects, now: Tick) -> Vec<SuspectChange> {
        let request = Suspect::Request(suspects.request());
        self.completed_requests.record(request, now, self.limits.capacity);
        self.record_response(request, now).into_iter().collect()
    }

    /// Records that a response has begun for parts of a prompt, before or after servers
    /// crashed under them.
    pub fn record_response_begun(&mut self, parts: &[PromptPart], now: Tick) -> Vec<SuspectChange> {
        let mut changes = Vec::new();
        for part in parts {
            let part = Suspect::Part(*part);
            self.parts_with_response.record(part, now, self.limits.capacity);
            changes.extend(self.record_response(part, now));
        }
        changes
    }

    fn record_response(&mut self, suspect: Suspect, now: Tick) -> Option<SuspectChange> {
        let was_quarantined = self.is_at_limit(suspect, now);
        self.suspects.get_mut(suspect)?.record_response(now);
        was_quarantined.then_some(SuspectChange::Cleared(suspect))
    }

    /// Merges the report of another entry. Returns whether it has put the suspect
    /// in quarantine.
    pub fn merge(&mut self, report: &CrashReport, now: Tick) -> bool {
        let mut crashes = report.crashes(now, self.limits.retention).peekable();
        if crashes.peek().is_none() {
            return false;
        }
        let suspect = report.suspect();
        let was_quarantined = self.is_at_limit(suspect, now);
        let record = self.record(suspect, now);
        record.began |= report.began();
        let told = report.last_response(now);
        let known = record.last_response;
        let mut is_outdated = told.is_none() && known.is_some();
        for crash in crashes {
            // The other entry counts a crash before a response that it does not know of.
            is_outdated |= told < Some(crash.at) && Some(crash.at) <= known;
            record.add(crash);
        }
        if is_outdated {
            record.contested = true;
            record.reported = 0;
        }
        record.last_response = known.max(told);
        !was_quarantined && self.is_at_limit(suspect, now)
    }

    fn record(&mut self, suspect: Suspect, now: Tick) -> &mut SuspectRecord {
        let responses = match suspect {
            Suspect::Request(_) => &self.completed_requests,
            Suspect::Part(_) => &self.parts_with_response,
        };
        let empty = SuspectRecord::new(responses.last(suspect));
        self.suspects.get_or_insert(suspect, empty, now)
    }

    /// Decides whether a request that has just arrived may be sent. One that is let
    /// through for a part that is refused is followed by the next one after
    /// `probe_interval`.
    pub fn admit(
        &mut self,
        suspects: &RunSuspects,
        now: Tick,
        probe_interval: Millis,
    ) -> Admission {
        match self.refusal(suspects, now) {
            None => Admission::Admitted,
            Some(refusal) if refusal.is_probed => {
                if self.take_probe_turn(refusal.suspect, now, probe_interval) {
                    return Admission::Probe(refusal.suspect);
                }
                Admission::Refused(refusal)
            }
            Some(refusal) => Admission::Refused(refusal),
        }
    }

    /// Why a request is refused, without regard to the turns of probes. For requests that
    /// have been admitted before: they must not take the turn of one that is sent.
    pub fn refusal(&self, suspects: &RunSuspects, now: Tick) -> Option<Refusal> {
        let (suspect, explanation) = self.blamed(suspects, now)?;
        let record = self.suspects.get(suspect, now)?;
        let is_probed = matches!(suspect, Suspect::Part(_))
            && (explanation == Explanation::Equal || record.certain(now) < MAX_PROBED_CRASHES);
        let retry_delay = if is_probed {
            PROBED_RETRY_DELAY
        } else {
            record.last_crash.after(self.limits.retention).since(now)
        };
        Some(Refusal { suspect, is_probed, retry_delay })
    }

    /// Whether the next request with a suspect is due to be let through. The one after it
    /// follows after `probe_interval`.
    fn take_probe_turn(&mut self, suspect: Suspect, now: Tick, probe_interval: Millis) -> bool {
        let Some(record) = self.suspects.get_mut(suspect) else { return false };
        let is_due = record.next_probe.is_some_and(|due| now >= due);
        if is_due || record.next_probe.is_none() {
            record.next_probe = Some(now.after(probe_interval));
        }
        is_due
    }

    /// Whether a request is not sent again because of the servers that crashed under
    /// it or under a part of its prompt.
    pub fn is_quarantined(&self, suspects: &RunSuspects, now: Tick) -> bool {
        self.blamed(suspects, now).is_some()
    }

    /// The suspect for which a request is refused.
    fn blamed(&self, suspects: &RunSuspects, now: Tick) -> Option<(Suspect, Explanation)> {
        let at_limit = suspects.iter().filter(|suspect| self.is_at_limit(*suspect, now));
        let blamed = at_limit.map(|suspect| (suspect, self.explanation(suspect, suspects, now)));
        // The one that is surest to be the cause decides.
        blamed
            .filter(|(_, explanation)| *explanation != Explanation::Worse)
            .max_by_key(|(_, explanation)| *explanation == Explanation::Only)
    }

    /// Compares a suspect with the parts that are not in the request: a part under
    /// which the same servers crashed, and more, is the better explanation.
    fn explanation(&self, suspect: Suspect, suspects: &RunSuspects, now: Tick) -> Explanation {
        let Some(record) = self.suspects.get(suspect, now) else { return Explanation::Only };
        let count = record.counted(now).count();
        let others = self
            .suspects
            .iter(now)
            .filter(|(other, _)| matches!(other, Suspect::Part(_)) && !suspects.contains(*other));
        let mut explanation = Explanation::Only;
        for (_, other) in others.filter(|(_, other)| other.covers(record, now)) {
            if other.counted(now).count() > count {
                return Explanation::Worse;
            }
            explanation = Explanation::Equal;
        }
        explanation
    }

    fn is_at_limit(&self, suspect: Suspect, now: Tick) -> bool {
        let record = self.suspects.get(suspect, now);
        record.is_some_and(|record| record.is_at_limit(suspect, self.limits, now))
    }

    /// Whether other entries are told of each crash under a suspect at once.
    fn is_urgent(&self, suspect: Suspect, now: Tick) -> bool {
        let record = self.suspects.get(suspect, now);
        matches!(suspect, Suspect::Part(_))
            && record.is_some_and(|record| {
                record.last_response.is_none() && record.counted(now).count() >= MIN_URGENT_CRASHES
            })
    }

    /// Whether the crash of a server, if it were certain, would put a request in
    /// quarantine.
    pub fn is_near_quarantine(
        &self,
        suspects: &RunSuspects,
        server: BackendIncarnation,
        now: Tick,
    ) -> bool {
        suspects.iter().any(|suspect| {
            self.suspects
                .get(suspect, now)
                .is_some_and(|record| record.is_near_limit(suspect, server, self.limits, now))
        })
    }

    /// Whether a request is suspected of having crashed a server. Two suspected requests
    /// must not run on one server at the same time, so that a crash can be attributed to
    /// one of them.
    pub fn is_suspected(&self, request: Fingerprint, now: Tick) -> bool {
        let suspect = Suspect::Request(request);
        let record = self.suspects.get(suspect, now);
        record.is_some_and(|record| record.is_suspected(suspect, self.limits, now))
    }

    /// Number of servers that crashed under a suspect and still count.
    pub fn crash_count(&self, suspect: Suspect, now: Tick) -> usize {
        self.suspects.get(suspect, now).map_or(0, |record| record.counted(now).count())
    }

    /// Number of recorded suspects, some of which may have expired.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no suspect is recorded.
    pub fn is_empty(&self) -> bool {
        self.suspects.len() == 0
    }

    /// The suspects in quarantine.
    pub fn quarantined(&self, now: Tick) -> impl Iterator<Item = Suspect> {
        let suspects = self.suspects.iter(now);
        suspects
            .filter(move |(suspect, record)| record.is_at_limit(*suspect, self.limits, now))
            .map(|(suspect, _)| suspect)
    }

    /// Number of requests and of parts of prompts in quarantine.
    pub fn quarantined_counts(&self, now: Tick) -> (usize, usize) {
        let (requests, parts): (Vec<_>, Vec<_>) =
            self.quarantined(now).partition(|suspect| matches!(suspect, Suspect::Request(_)));
        (requests.len(), parts.len())
    }

    /// Reports on the suspects in quarantine that are saved in one row, because a row is
    /// written as a whole.
    pub fn reports_to_save(&self, slot: SuspectSlot, now: Tick) -> Vec<CrashReport> {
        let suspects = self.quarantined(now).filter(|suspect| suspect.slot() == slot);
        let reports = suspects.filter_map(|suspect| self.report_on(suspect, now));
        reports.take(MAX_SAVED_PER_SLOT).collect()
    }

    /// What to report to other entries in the next message: at most `max`
    /// suspects, in the order of [`SuspectRecord::report_rank`]. Those in quarantine are
    /// reported for as long as they are recorded, so that an entry that has just
    /// started learns of them.
    pub fn next_reports(&mut self, max: usize, now: Tick) -> Vec<CrashReport> {
        let limits = self.limits;
        let due = self.suspects.iter_mut(now).filter_map(|(suspect, record)| {
            let is_refused = record.is_at_limit(suspect, limits, now);
            let is_sound = record.last_response.is_some() && record.counted(now).next().is_none();
            let is_told = is_sound && !record.contested;
            let is_due = is_refused || (!is_told && record.reported < MIN_REPORTS);
            let rank = record.report_rank(suspect, now);
            is_due.then_some((rank, (suspect, record)))
        });
        let reports = least_reported(due, max).into_iter().map(|(suspect, record)| {
            record.reported = record.reported.saturating_add(1);
            CrashReport::new(suspect, record, now)
        });
        reports.collect()
    }

    /// What is known of one suspect.
    pub fn report_on(&self, suspect: Suspect, now: Tick) -> Option<CrashReport> {
        Some(CrashReport::new(suspect, self.suspects.get(suspect, now)?, now))
    }
}
