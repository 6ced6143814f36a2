//! Suspects in quarantine that are saved in the store, so that they outlast a restart
//! of all entries.

use std::rc::Rc;
use std::time::Duration;

use clementine_decide::quarantine::{CrashReport, Suspect, SuspectSlot};
use clementine_objects::Millis;
use clementine_platform::store::{RowKey, StoreError, Transaction};
use clementine_process::clock::unix_ms;
use compact_str::{CompactString, ToCompactString};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use spdlog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::shared::SharedState;

/// Table of the suspects in quarantine. The key is a slot, the value a [`SavedSlot`] as
/// JSON. The number of slots bounds the table without anybody who cleans it up.
const TABLE: &str = "quarantine";
/// Delay, before jitter, after a call to the store failed.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of attempts to save a suspect.
const MAX_SAVE_ATTEMPTS: usize = 30;

/// All suspects of a slot that the entry which wrote it had in quarantine.
#[derive(Debug, Serialize, Deserialize)]
struct SavedSlot {
    reports: Vec<CrashReport>,
    /// When it was saved, in ms since the Unix epoch. The time of day may differ
    /// between instances by seconds, which is little compared to the time for which a
    /// request is refused.
    saved_at_ms: u64,
}

fn row_key(slot: SuspectSlot) -> RowKey {
    let key = slot.to_compact_string();
    RowKey { table: TABLE.into(), partition: CompactString::default(), key }
}

/// Saves a suspect that has been put in quarantine, with the others of its slot, which it
/// would replace otherwise.
pub(super) async fn save(shared: Rc<SharedState>, suspect: Suspect) {
    let slot = suspect.slot();
    shared.saved_slots.borrow_mut().insert(slot);
    for _ in 0..MAX_SAVE_ATTEMPTS {
        let reports = shared.crash_log.borrow().reports_to_save(slot, shared.now());
        let saved = SavedSlot { reports, saved_at_ms: unix_ms() };
        let value = serde_json::to_vec(&saved).unwrap_or_default();
        let transaction = Transaction::default().put(row_key(slot), value.into());
        match shared.store.commit(&transaction).await {
            Ok(_) => return info!("crashes: {} saved", suspect),
            Err(error) => warn!("crashes: {} cannot be saved: {}", suspect, error),
        }
        sleep(retry_delay(&shared)).await;
    }
}

/// Saves a suspect of which another entry has told, if both entries save the same slot:
/// the last one to write it may not have known of the other's suspect.
pub(super) fn save_again(shared: &Rc<SharedState>, suspect: Suspect) {
    if shared.saved_slots.borrow().contains(&suspect.slot()) {
        spawn_local(save(Rc::clone(shared), suspect));
    }
}

/// Reads the saved suspects.
pub(super) async fn read_saved(shared: &SharedState) -> Result<Vec<CrashReport>, StoreError> {
    let now = unix_ms();
    let snapshot = shared.store.read(TABLE).await?;
    let mut reports = Vec::new();
    for row in &snapshot.rows {
        match serde_json::from_slice::<SavedSlot>(&row.value) {
            Ok(saved) => {
                let age = Millis(now.saturating_sub(saved.saved_at_ms));
                reports.extend(saved.reports.into_iter().map(|report| report.older_by(age)));
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
