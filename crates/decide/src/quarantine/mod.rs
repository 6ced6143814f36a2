//! Quarantine of requests and of parts of prompts that crash backend servers.

mod crash_counts;
mod crash_log;
mod crash_report;
mod evidence;
mod fingerprint;
mod recent_answers;
mod records;
mod suspect;
mod suspect_gate;
mod suspect_record;

pub use crash_counts::{Quarantine, QuarantineLimits};
pub use crash_log::{Admission, CrashLog, RecordedCrash, SuspectChange};
pub use crash_report::CrashReport;
pub use evidence::{CrashEvidence, Listing, LossKind, LossVerdict, SILENCE_TTL, judge_loss};
pub use fingerprint::Fingerprint;
pub use suspect::{RunSuspects, Suspect};
pub use suspect_gate::SuspectGate;
