//! Follows one table of the store by long polling.

use std::time::Duration;

use clementine_platform::store::{ChangeBatch, Row, Snapshot, StoreError};
use rand::RngExt;
use spdlog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::shared::{SharedState, TableSync};

/// Maximum time for which the store may hold a long poll. It can be long,
/// because a poll that hangs is detected by other means: the other entries
/// announce newer changes than the poll has returned.
const POLL_WAIT: Duration = Duration::from_secs(10);
/// Maximum time for which the store may hold a long poll of the holder of the
/// planner's lease. Shorter than [`POLL_WAIT`], so that at least one entry
/// receives changes soon when the polls of all entries hang.
const PLANNER_POLL_WAIT: Duration = Duration::from_millis(1_500);
/// Minimum and maximum delay after changes, in which further changes accumulate
/// and are then fetched in one batch.
const MIN_BATCH_DELAY: Duration = Duration::from_millis(250);
const MAX_BATCH_DELAY: Duration = Duration::from_millis(900);
/// Delay after changes as a multiple of their transfer time on the instance's
/// link. Callers' traffic uses the same link.
const BATCH_DELAY_FACTOR: f64 = 3.0;
/// If a poll without changes takes less than this time, the next one is delayed
/// by the same time. Otherwise a store that does not wait for changes would be
/// polled in a tight loop.
const MIN_EMPTY_POLL: Duration = Duration::from_millis(500);
/// Delay after the first failed call, doubled after each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// Maximum delay after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);

/// Receives the content of a table.
pub(super) trait TableObserver {
    /// Applies the whole table. Called first, and after a gap in the changes.
    fn apply_snapshot(&mut self, snapshot: Snapshot);
    /// Applies the changes since the last call.
    fn apply_changes(&mut self, batch: ChangeBatch);
}

/// Follows a table until the process ends.
pub(super) async fn follow_table(
    shared: &SharedState,
    table: &'static str,
    sync: &TableSync,
    observer: &mut impl TableObserver,
) {
    let mut version = None;
    let mut backoff = INITIAL_BACKOFF;
    let mut reachable = true;
    loop {
        match poll(shared, table, sync, &mut version, observer).await {
            Ok(changed) => {
                if let Some(bytes) = changed {
                    sleep(batch_delay(bytes, shared.settings.link_bytes_per_s)).await;
                }
                if !reachable {
                    info!("store: following table `{}` again at version {:?}", table, version);
                }
                reachable = true;
                backoff = INITIAL_BACKOFF;
            }
            Err(error) => {
                shared.metrics.count_store_failure(table);
                if reachable {
                    warn!("store: cannot follow table `{}`: {}", table, error);
                }
                reachable = false;
                let jitter = shared.rng.borrow_mut().random_range(0.5..1.0);
                sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Makes one call to the store. Returns the size of the received rows in bytes,
/// or `None` if nothing has changed.
async fn poll(
    shared: &SharedState,
    table: &'static str,
    sync: &TableSync,
    version: &mut Option<u64>,
    observer: &mut impl TableObserver,
) -> Result<Option<usize>, StoreError> {
    let Some(after) = *version else {
        let snapshot = shared.store.read(table).await?;
        *version = Some(snapshot.version);
        sync.advance(snapshot.version, newest_version(&snapshot.rows));
        let bytes = total_bytes(&snapshot.rows);
        observer.apply_snapshot(snapshot);
        return Ok(Some(bytes));
    };
    let started = Instant::now();
    let wait = if shared.held_lease_version().is_some() { PLANNER_POLL_WAIT } else { POLL_WAIT };
    let response = tokio::select! {
        response = shared.store.poll_changes(table, after, wait) => response,
        () = sync.repoll_needed() => return Ok(None),
    };
    match response {
        Ok(batch) => {
            *version = Some(batch.version.max(after));
            let changed = (!batch.rows.is_empty()).then(|| total_bytes(&batch.rows));
            sync.advance(batch.version.max(after), newest_version(&batch.rows));
            observer.apply_changes(batch);
            if changed.is_none() && started.elapsed() < MIN_EMPTY_POLL {
                sleep(MIN_EMPTY_POLL).await;
            }
            Ok(changed)
        }
        Err(StoreError::HistoryGone) => {
            info!(
                "store: changes of table `{}` after version {} are gone, reading a snapshot",
                table, after
            );
            *version = None;
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

fn newest_version(rows: &[Row]) -> Option<u64> {
    rows.iter().map(|row| row.version).max()
}

fn total_bytes(rows: &[Row]) -> usize {
    rows.iter().map(|row| row.value.len()).sum()
}

fn batch_delay(bytes: usize, link_bytes_per_s: f64) -> Duration {
    let transfer_time = Duration::from_secs_f64(bytes as f64 / link_bytes_per_s.max(1.0));
    transfer_time.mul_f64(BATCH_DELAY_FACTOR).clamp(MIN_BATCH_DELAY, MAX_BATCH_DELAY)
}
