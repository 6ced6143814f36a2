//! Requests in quarantine that are saved in the store, so that they outlast a restart
//! of all entries.

use std::rc::Rc;
use std::time::Duration;

use clementine_decide::quarantine::{CrashReport, Fingerprint};
use clementine_objects::Millis;
use clementine_platform::store::{RowKey, StoreError, Transaction};
use clementine_process::clock::unix_ms;
use compact_str::{CompactString, format_compact};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use spdlog::{info, warn};
use tokio::time::sleep;

use super::quarantine::merge_crashes;
use crate::shared::SharedState;

/// Table of the requests in quarantine. The key is the request's slot, the value a
/// [`SavedReport`] as JSON.
const TABLE: &str = "quarantine";
/// Number of rows in the table. A request replaces another one with the same slot,
/// which bounds the table without anybody who cleans it up.
const SLOTS: u128 = 64;
/// Time after the start after which the table is read. By then the entry knows
/// whether others of its failure domain do that.
const READ_DELAY: Duration = Duration::from_secs(2);
/// Delay, before jitter, after a call to the store failed.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of attempts to save a request.
const MAX_SAVE_ATTEMPTS: usize = 30;

#[derive(Debug, Serialize, Deserialize)]
struct SavedReport {
    report: CrashReport,
    /// When it was saved, in ms since the Unix epoch. The time of day may differ
    /// between instances by seconds, which is little compared to the time for which a
    /// request is refused.
    saved_at_ms: u64,
}

fn row_key(content: Fingerprint) -> RowKey {
    RowKey {
        table: TABLE.into(),
        partition: CompactString::default(),
        key: format_compact!("{:02x}", content.0 % SLOTS),
    }
}

/// Saves a request that has been put in quarantine.
pub(super) async fn save(shared: Rc<SharedState>, report: CrashReport) {
    let content = report.request();
    let saved = SavedReport { report, saved_at_ms: unix_ms() };
    let value = serde_json::to_vec(&saved).unwrap_or_default();
    let transaction = Transaction::default().put(row_key(content), value.into());
    for _ in 0..MAX_SAVE_ATTEMPTS {
        match shared.store.commit(&transaction).await {
            Ok(_) => return info!("crashes: content={} saved", content),
            Err(error) => warn!("crashes: content={} cannot be saved: {}", content, error),
        }
        sleep(retry_delay(&shared)).await;
    }
}

/// Reads the saved requests once after the start, unless neighbors do and tell this
/// entry.
pub(crate) async fn load_saved_quarantine(shared: Rc<SharedState>) {
    sleep(READ_DELAY).await;
    while shared.must_follow_store() {
        match read(&shared).await {
            Ok(reports) => return merge_crashes(&shared, &reports),
            Err(error) => warn!("crashes: saved requests cannot be read: {}", error),
        }
        sleep(retry_delay(&shared)).await;
    }
}

async fn read(shared: &SharedState) -> Result<Vec<CrashReport>, StoreError> {
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

fn retry_delay(shared: &SharedState) -> Duration {
    RETRY_DELAY.mul_f64(shared.rng.borrow_mut().random_range(0.7..1.3))
}
