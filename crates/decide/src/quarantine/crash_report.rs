//! What entries tell each other of a suspect.

use clementine_objects::Millis;
use serde::{Deserialize, Serialize};

use super::evidence::{Crash, CrashEvidence};
use super::{Suspect, suspect_record::SuspectRecord};
use crate::fleet::BackendIncarnation;
use crate::ids::Tick;

/// What an entry knows of one suspect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    suspect: Suspect,
    /// Servers that crashed under it.
    servers: Vec<CrashedServer>,
    /// Time since the last response to a request with it, if there was one.
    last_response: Option<Millis>,
    /// Whether a run with it broke off between the head of its response and the first
    /// event.
    began: bool,
}

/// A server that crashed, in a [`CrashReport`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct CrashedServer {
    server: BackendIncarnation,
    evidence: CrashEvidence,
    /// Time since the crash.
    age: Millis,
}

impl CrashReport {
    pub(super) fn new(suspect: Suspect, record: &SuspectRecord, now: Tick) -> Self {
        let servers = record.crashes.iter().filter(|crash| crash.counts(now));
        let servers = servers.map(|crash| CrashedServer {
            server: crash.server,
            evidence: crash.evidence,
            age: now.since(crash.at),
        });
        Self {
            suspect,
            servers: servers.collect(),
            last_response: record.last_response.map(|at| now.since(at)),
            began: record.began,
        }
    }

    /// The suspect that the report is about.
    pub const fn suspect(&self) -> Suspect {
        self.suspect
    }

    /// Whether it names more servers than another report on the suspect, or a response that
    /// the other one does not know of.
    pub fn tells_more_than(&self, other: Option<&Self>) -> bool {
        other.is_none_or(|other| {
            let answered = |report: &Self| report.last_response.is_some();
            self.servers.len() > other.servers.len() || (answered(self) && !answered(other))
        })
    }

    /// The same report after some time.
    #[must_use]
    pub fn older_by(mut self, time: Millis) -> Self {
        let ages = self.servers.iter_mut().map(|crashed| &mut crashed.age);
        for age in ages.chain(&mut self.last_response) {
            *age = Millis(age.0.saturating_add(time.0));
        }
        self
    }

    /// The crashes that happened less than `retention` ago.
    pub(super) fn crashes(&self, now: Tick, retention: Millis) -> impl Iterator<Item = Crash> {
        let recent = self.servers.iter().filter(move |crashed| crashed.age < retention);
        recent.map(move |crashed| Crash {
            server: crashed.server,
            evidence: crashed.evidence,
            at: now.before(crashed.age),
        })
    }

    /// Whether a run with the suspect broke off between the head of its response and
    /// the first event.
    pub(super) const fn began(&self) -> bool {
        self.began
    }

    /// When a request with the suspect last got a response.
    pub(super) fn last_response(&self, now: Tick) -> Option<Tick> {
        self.last_response.map(|age| now.before(age))
    }
}
