//! What must hold, by what callers got and backend servers ran.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};

use crate::callers::{Got, Kind};
use crate::fleet::LAYERS;
use crate::world::Backend;

/// Events of a whole stream.
const EVENTS: u64 = 20;

/// Promises that were broken, and what is needed to tell at the end.
#[derive(Debug, Default)]
pub struct Checks {
    broken: RefCell<Vec<String>>,
    /// Requests that were said not to have run, other than idempotent ones.
    not_run: RefCell<HashSet<String>>,
    once: RefCell<HashSet<String>>,
    asked: RefCell<HashSet<String>>,
    /// Answers by kind of request and status; 0 is none.
    statuses: RefCell<BTreeMap<(Kind, u16), u32>>,
}

impl Checks {
    pub fn note(&self, broken: String) {
        self.broken.borrow_mut().push(broken);
    }

    /// Notes a request that is about to be sent.
    pub fn note_asked(&self, kind: Kind, id: &str) {
        self.asked.borrow_mut().insert(id.into());
        if kind == Kind::Once {
            self.once.borrow_mut().insert(id.into());
        }
    }

    /// What callers got, for people.
    pub fn summary(&self) -> String {
        let statuses = self.statuses.borrow();
        let counts = statuses.iter().map(|((kind, status), n)| format!("{kind:?} {status}: {n}"));
        counts.collect::<Vec<_>>().join(", ")
    }

    /// Checks what a caller got.
    pub fn note_got(&self, kind: Kind, id: &str, got: &Got) {
        *self.statuses.borrow_mut().entry((kind, got.status)).or_default() += 1;
        if got.answers.as_deref().is_some_and(|answers| answers != id) {
            self.note(format!("{id} got the answer to {:?}", got.answers));
        }
        match got.status {
            200 if kind == Kind::Stream => self.check_stream(id, got),
            200 if got.whole && !got.body.starts_with("answer of plain-") => {
                self.note(format!("{id} got the body {:?}", got.body));
            }
            429 | 503 if kind == Kind::Once => {
                self.not_run.borrow_mut().insert(id.into());
            }
            400 | 401 | 403 | 404 => self.note(format!("{id} was denied with {}", got.status)),
            _ => {}
        }
    }

    fn check_stream(&self, id: &str, got: &Got) {
        let lines = got.body.lines().filter_map(|line| line.strip_prefix("id: "));
        let events: Vec<u64> = lines.filter_map(|line| line.parse().ok()).collect();
        let in_order = events.iter().copied().eq(1..=events.len() as u64);
        if !in_order {
            self.note(format!("{id} got the events {events:?}"));
        }
        if got.whole && events.len() as u64 != EVENTS {
            self.note(format!("{id} looks complete after {} events", events.len()));
        }
    }

    /// What was broken in all, with what the backend servers ran.
    pub fn finish(&self, backends: &[Backend]) -> Vec<String> {
        let mut runs: HashMap<String, u32> = HashMap::new();
        for backend in backends {
            for id in backend.ran_ids.borrow().iter() {
                *runs.entry(id.clone()).or_default() += 1;
            }
            for stray in backend.strays.borrow().iter() {
                self.note(format!("{} was sent {stray}", backend.id));
            }
            for path in backend.ran.borrow().iter().filter(|path| !path.is_empty()) {
                if !runs_each_layer_once(path) {
                    self.note(format!("{} ran on the path {path}", backend.id));
                }
            }
        }
        for (id, runs) in &runs {
            if !self.asked.borrow().contains(id) {
                self.note(format!("{id} ran, and nobody asked it"));
            }
            if *runs > 1 && self.once.borrow().contains(id) {
                self.note(format!("{id} ran {runs} times"));
            }
            if self.not_run.borrow().contains(id) {
                self.note(format!("{id} ran, though the caller was told that it had not"));
            }
        }
        self.broken.take()
    }
}

/// Whether the legs `ADDRESS=FROM-TO` of a path join from the first layer to
/// the last.
fn runs_each_layer_once(path: &str) -> bool {
    let mut next = 0;
    for leg in path.split(',') {
        let range = leg.split_once('=').and_then(|(_, range)| range.split_once('-'));
        let bounds = range.and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
        let Some((from, to)): Option<(u32, u32)> = bounds else { return false };
        if from != next || to <= from {
            return false;
        }
        next = to;
    }
    next == LAYERS
}
