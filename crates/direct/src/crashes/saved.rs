//! Suspects in quarantine that are saved in the store, so that they outlast a restart
//! of all entries.

use std::rc::Rc;
use std::time::Duration;

use clementine_decide::quarantine::{CrashReport, Suspect};
use clementine_objects::Millis;
use clementine_platform::store::{RowKey, StoreError, Transaction};
use clementine_process::clock::unix_ms;
use compact_str::{CompactString, format_compact};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::shared::SharedState;

/// Table of the suspects in quarantine. The key is the suspect's slot, the value a
/// [`SavedReport`] as JSON.
const TABLE: &str = "quarantine";
/// Number of rows of requests, and of rows of parts of prompts. A suspect replaces
/// another one with the same slot, which bounds the table without anybody who cleans it up.
const SLOTS: u128 = 64;
/// Delay, before jitter, after a call to the store failed.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of attempts to save a suspect.
const MAX_SAVE_ATTEMPTS: usize = 30;

#[derive(Debug, Serialize, Deserialize)]
struct SavedReport {
    report: CrashReport,
    /// When it was saved, in ms since the Unix epoch. The time of day may differ
    /// between instances by seconds, which is little compared to the time for which a
    /// request is refused.
    saved_at_ms: u64,
}

/// Key of the row of a suspect. Parts have slots of their own: they must not be lost
/// among the many requests that run when servers crash.
fn row_key(suspect: Suspect) -> RowKey {
    let key = match suspect {
        Suspect::Request(request) => format_compact!("{:02x}", request.0 % SLOTS),
        Suspect::Part(part) => format_compact!("part-{:02x}", u128::from(part.0) % SLOTS),
    };
    RowKey { table: TABLE.into(), partition: CompactString::default(), key }
}

/// Saves a suspect that has been put in quarantine.
pub(super) async fn save(shared: Rc<SharedState>, report: CrashReport) {
    let suspect = report.suspect();
    let saved = SavedReport { report, saved_at_ms: unix_ms() };
    let value = serde_json::to_vec(&saved).unwrap_or_default();
    let transaction = Transaction::default().put(row_key(suspect), value.into());
    for _ in 0..MAX_SAVE_ATTEMPTS {
        match shared.store.commit(&transaction).await {
            Ok(_) => return info!("crashes: {} saved", suspect),
            Err(error) => warn!("crashes: {} cannot be saved: {}", suspect, error),
        }
        sleep(retry_delay(&shared)).await;
    }
}

/// Reads the saved suspects.
pub(super) async fn read_saved(shared: &SharedState) -> Result<Vec<CrashReport>, StoreError> {
    let now = unix_ms();
    let snapshot = shared.store.read(TABLE).await?;
    let mut reports = Vec::new();
    for row in &snapshot.rows {
        match serde_json::from_slice::<SavedReport>(&row.value) {
            Ok(saved) => {
                let age = Millis(now.saturating_sub(saved.saved_at_ms));
                reports.push(saved.report.older_by(age));
            }
            Err(error) => warn!("crashes: row `{}` is malformed: {}", row.key.key, error),
        }
    }
    Ok(reports)
}

/// Delay after a call to the store failed.
pub(super) fn retry_delay(shared: &SharedState) -> Duration {
    RETRY_DELAY.mul_f64(shared.rng.borrow_mut().random_range(0.7..1.3))
}
