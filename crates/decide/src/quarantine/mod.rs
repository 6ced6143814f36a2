//! Quarantine of requests and of parts of prompts that crash backend servers.

mod crash_log;
mod crash_report;
mod evidence;
mod fingerprint;
mod limits;
mod recent_responses;
mod records;
mod suspect;
mod suspect_gate;
mod suspect_record;
mod suspect_slot;
mod verdict;

pub use crash_log::CrashLog;
pub use crash_report::CrashReport;
pub use evidence::{CrashEvidence, Listing, LossKind, LossVerdict, SILENCE_TTL, judge_loss};
pub use fingerprint::Fingerprint;
pub use limits::QuarantineLimits;
pub use suspect::{RunSuspects, Suspect};
pub use suspect_gate::SuspectGate;
pub use suspect_slot::SuspectSlot;
pub use verdict::{Admission, RecordedCrash, Refusal, SuspectChange};
