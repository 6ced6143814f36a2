//! Checks of the guarantees, from the responses that callers received and the
//! requests that backend servers ran.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::callers::{BAD_PART_PATH, CallerResponse, RequestKind};
use crate::common::Backend;
use crate::harness::LAYERS;

/// Servers that the requests of one content may crash: three, and three retries.
const MAX_CRASHES: usize = 6;
/// Number of servers after whose crash requests with one part of a prompt must stop.
const PART_CRASHES: usize = 5;
/// Time that entries have for that.
const STOP_TIME: Duration = Duration::from_secs(3);
/// Servers that such requests may crash later than that.
const MAX_LATE_PART_CRASHES: usize = 3;
/// Number of events in a complete stream.
const STREAM_EVENTS: u64 = 20;

/// Violations found so far, and the records for the checks at the end.
#[derive(Debug, Default)]
pub struct Checks {
    violations: RefCell<Vec<String>>,
    /// At-most-once requests whose response says that they did not run.
    reported_not_run: RefCell<HashSet<String>>,
    at_most_once: RefCell<HashSet<String>>,
    sent: RefCell<HashSet<String>>,
    /// Number of responses by kind of request and status; status 0 is no response.
    statuses: RefCell<BTreeMap<(RequestKind, u16), u32>>,
}

impl Checks {
    pub fn record_violation(&self, violation: String) {
        self.violations.borrow_mut().push(violation);
    }

    /// Records a request that is about to be sent.
    pub fn record_sent(&self, kind: RequestKind, id: &str) {
        self.sent.borrow_mut().insert(id.into());
        if kind == RequestKind::Once {
            self.at_most_once.borrow_mut().insert(id.into());
        }
    }

    /// Number of responses by kind and status, as text.
    pub fn summary(&self) -> String {
        let statuses = self.statuses.borrow();
        let counts = statuses.iter().map(|((kind, status), n)| format!("{kind:?} {status}: {n}"));
        counts.collect::<Vec<_>>().join(", ")
    }

    /// Checks and counts a response.
    pub fn check_response(&self, kind: RequestKind, id: &str, response: &CallerResponse) {
        *self.statuses.borrow_mut().entry((kind, response.status)).or_default() += 1;
        if response.request_id.as_deref().is_some_and(|named| named != id) {
            self.record_violation(format!(
                "request {id} got the response to {:?}",
                response.request_id
            ));
        }
        match response.status {
            200 if kind == RequestKind::Stream => self.check_stream(id, response),
            200 if response.complete && !response.body.starts_with("response from plain-") => {
                self.record_violation(format!("request {id} got the body {:?}", response.body));
            }
            429 | 503 if kind == RequestKind::Once => {
                self.reported_not_run.borrow_mut().insert(id.into());
            }
            400 | 401 | 403 | 404 => self.record_violation(format!(
                "request {id} was rejected with status {}",
                response.status
            )),
            _ => {}
        }
    }

    fn check_stream(&self, id: &str, response: &CallerResponse) {
        let lines = response.body.lines().filter_map(|line| line.strip_prefix("id: "));
        let events: Vec<u64> = lines.filter_map(|line| line.parse().ok()).collect();
        let in_order = events.iter().copied().eq(1..=events.len() as u64);
        if !in_order {
            self.record_violation(format!("request {id} got the events {events:?}"));
        }
        if response.complete && events.len() as u64 != STREAM_EVENTS {
            self.record_violation(format!(
                "stream {id} looks complete after {} of {STREAM_EVENTS} events",
                events.len()
            ));
        }
    }

    /// Checks that the requests of one content, or with one part of a prompt, stop
    /// crashing servers. Each path is a content or a part of its own.
    fn check_crashes(&self, backends: &[Backend]) {
        let mut crashes: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
        for crash in backends.iter().flat_map(|backend| backend.crashed_by.borrow().clone()) {
            crashes.entry(crash.path).or_default().push(crash.at);
        }
        let part_crashes = crashes.remove(BAD_PART_PATH).unwrap_or_default();
        let (all, late) = (part_crashes.len(), late_crashes(part_crashes));
        println!("requests with the bad part crashed {all} servers, {late} of them late");
        if late > MAX_LATE_PART_CRASHES {
            self.record_violation(format!("requests with the bad part crashed {late} late"));
        }
        for (path, crashes) in crashes.iter().filter(|(_, crashes)| crashes.len() > MAX_CRASHES) {
            let crashes = crashes.len();
            self.record_violation(format!("requests of {path} crashed {crashes} servers"));
        }
    }

    /// Checks what the backend servers ran, and returns all violations.
    pub fn finish(&self, backends: &[Backend]) -> Vec<String> {
        self.check_crashes(backends);
        let mut runs: HashMap<String, u32> = HashMap::new();
        for backend in backends {
            for id in backend.run_request_ids.borrow().iter() {
                *runs.entry(id.clone()).or_default() += 1;
            }
            for header_error in backend.header_errors.borrow().iter() {
                self.record_violation(format!(
                    "backend server {} received {header_error}",
                    backend.id
                ));
            }
            for path in backend.run_paths.borrow().iter().filter(|path| !path.is_empty()) {
                if !covers_each_layer_once(path) {
                    self.record_violation(format!(
                        "backend server {} ran a request on the invalid path {path}",
                        backend.id
                    ));
                }
            }
        }
        for (id, runs) in &runs {
            if !self.sent.borrow().contains(id) {
                self.record_violation(format!("request {id} ran, but no caller sent it"));
            }
            if *runs > 1 && self.at_most_once.borrow().contains(id) {
                self.record_violation(format!(
                    "request {id} ran {runs} times instead of at most once"
                ));
            }
            if self.reported_not_run.borrow().contains(id) {
                self.record_violation(format!(
                    "request {id} ran, but the caller was told that it had not"
                ));
            }
        }
        self.violations.take()
    }
}

/// Number of crashes that are later than [`STOP_TIME`] after those that are allowed.
fn late_crashes(mut crashes: Vec<Instant>) -> usize {
    crashes.sort_unstable();
    let Some(last_allowed) = crashes.get(PART_CRASHES - 1).copied() else { return 0 };
    crashes.iter().filter(|at| **at > last_allowed + STOP_TIME).count()
}

/// Whether the stages `ADDRESS=FROM-TO` of a path cover all layers in order, each
/// once.
fn covers_each_layer_once(path: &str) -> bool {
    let mut next = 0;
    for stage in path.split(',') {
        let range = stage.split_once('=').and_then(|(_, range)| range.split_once('-'));
        let bounds = range.and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
        let Some((from, to)): Option<(u32, u32)> = bounds else { return false };
        if from != next || to <= from {
            return false;
        }
        next = to;
    }
    next == LAYERS
}
