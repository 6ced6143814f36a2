//! Follows one table of the store: by long polling, or by the changes that a
//! neighbor passes on.

use std::time::Duration;

use clementine_decide::ids::StoreVersion;
use clementine_decide::peers::{FollowedTable, TableChanges};
use clementine_platform::store::{ChangeBatch, Row, Snapshot, StoreError};
use rand::RngExt;
use spdlog::{info, warn};
use tokio::time::{Instant, sleep, sleep_until};

use super::passed_on::{decode_rows, encode_rows};
use crate::shared::{SharedState, TableSync, UrgentMessage};

/// Maximum time for which the store may hold a long poll. A poll whose response is
/// lost is only detected at its time limit; a change has to be applied within 3 s
/// after the store responds again.
const POLL_WAIT: Duration = Duration::from_millis(1_500);
/// Interval at which an entry that relies on its neighbors checks whether it still
/// can, and whether it has missed a change.
const NEIGHBOR_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of consecutive checks that find a missed change, after which it is read
/// from the store. Until then, it may still arrive from a neighbor.
const MAX_CHECKS_BEHIND: u32 = 2;
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
/// Maximum delay after a failed call of an entry on which its neighbors rely.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);
/// Maximum delay after a failed call of an entry that replaces one of these.
const STANDBY_MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Receives the content of a table.
pub(super) trait TableObserver {
    /// Applies the whole table. Called first, and after a gap in the changes.
    fn apply_snapshot(&mut self, snapshot: Snapshot);
    /// Applies the changes since the last call.
    fn apply_changes(&mut self, rows: &[Row]);
    /// Called at short intervals while nothing changes.
    fn check_time(&mut self) {}
}

/// Follows a table until the process ends.
pub(super) async fn follow_table(
    shared: &SharedState,
    table: FollowedTable,
    name: &'static str,
    observer: &mut impl TableObserver,
) {
    let sync = shared.table_sync(table);
    let mut follower =
        TableFollower { shared, table, name, sync, observer, loaded: false, checks_behind: 0 };
    let mut backoff = INITIAL_BACKOFF;
    let mut outage = None;
    loop {
        let called_at = Instant::now();
        match follower.step().await {
            Ok(changed) => {
                if let Some(bytes) = changed {
                    sleep(batch_delay(bytes, shared.settings.link_bytes_per_s)).await;
                }
                if !sync.set_reachable(true) {
                    info!("store: following table `{}` again at {}", name, sync.position());
                }
                if let Some(outage) = outage.take() {
                    log_outage(name, &outage);
                }
                backoff = INITIAL_BACKOFF;
            }
            Err(error) => {
                shared.metrics.count_store_failure(name);
                if sync.set_reachable(false) {
                    warn!("store: cannot follow table `{}`: {}", name, error);
                }
                let jitter = shared.rng.borrow_mut().random_range(0.5..1.0);
                let delay = backoff.mul_f64(jitter);
                outage.get_or_insert(Outage::new(called_at)).record_failure(called_at, delay);
                follower.wait_to_retry(delay).await;
                let limit =
                    if shared.is_standby_follower() { STANDBY_MAX_BACKOFF } else { MAX_BACKOFF };
                backoff = (backoff * 2).min(limit);
            }
        }
    }
}

/// Consecutive failed calls for a table.
struct Outage {
    /// When the first failed call was sent.
    started: Instant,
    failures: u32,
    /// When the last failed call was sent.
    last_sent: Instant,
    /// Duration of the last failed call.
    last_call: Duration,
    /// Delay after the last failed call.
    last_delay: Duration,
}

impl Outage {
    const fn new(started: Instant) -> Self {
        Self {
            started,
            failures: 0,
            last_sent: started,
            last_call: Duration::ZERO,
            last_delay: Duration::ZERO,
        }
    }

    fn record_failure(&mut self, sent: Instant, delay: Duration) {
        self.failures += 1;
        self.last_sent = sent;
        self.last_call = sent.elapsed();
        self.last_delay = delay;
    }
}

/// Logs how an outage ended, to tell a late detection of its end from a long delay.
fn log_outage(table: &str, outage: &Outage) {
    info!(
        "store: table `{}` failures={} outage_ms={} last_sent_ms_ago={} last_call_ms={} \
         last_delay_ms={}",
        table,
        outage.failures,
        outage.started.elapsed().as_millis(),
        outage.last_sent.elapsed().as_millis(),
        outage.last_call.as_millis(),
        outage.last_delay.as_millis()
    );
}

/// Follows one table.
struct TableFollower<'a, O> {
    shared: &'a SharedState,
    table: FollowedTable,
    /// Name of the table in the store.
    name: &'static str,
    sync: &'a TableSync,
    observer: &'a mut O,
    /// Whether a snapshot has been read that the changes follow on.
    loaded: bool,
    /// Number of consecutive checks that have found a missed change.
    checks_behind: u32,
}

impl<O: TableObserver> TableFollower<'_, O> {
    /// Waits for the next changes. Returns the size of the rows that were read from
    /// the store in bytes, or `None` if there were none.
    async fn step(&mut self) -> Result<Option<usize>, StoreError> {
        if !self.loaded {
            return self.read_snapshot().await.map(Some);
        }
        if !self.shared.must_follow_store() {
            return self.wait_for_neighbors().await;
        }
        // During an outage, a call that does not wait detects its end sooner.
        let wait = if self.sync.is_reachable() { POLL_WAIT } else { Duration::ZERO };
        self.poll(wait).await
    }

    async fn read_snapshot(&mut self) -> Result<usize, StoreError> {
        let snapshot = self.shared.store.read(self.name).await?;
        self.loaded = true;
        self.sync
            .record_snapshot(snapshot.version, newest_version(&snapshot.rows, snapshot.version));
        let bytes = total_bytes(&snapshot.rows);
        self.observer.apply_snapshot(snapshot);
        Ok(bytes)
    }

    /// Makes one long poll, and passes the changes on to the neighbors.
    async fn poll(&mut self, wait: Duration) -> Result<Option<usize>, StoreError> {
        let started = Instant::now();
        let after = self.sync.position();
        let response = tokio::select! {
            response = self.shared.store.poll_changes(self.name, after, wait) => response,
            () = self.sync.repoll_needed() => return Ok(None),
        };
        let batch = match response {
            Ok(batch) => batch,
            Err(StoreError::HistoryGone) => {
                info!("store: no changes of table `{}` after {}, reading all", self.name, after);
                self.loaded = false;
                return Ok(None);
            }
            Err(error) => return Err(error),
        };
        let changed = self.apply_batch(&batch);
        if changed.is_none() && started.elapsed() < MIN_EMPTY_POLL.min(wait) {
            sleep(MIN_EMPTY_POLL).await;
        }
        Ok(changed)
    }

    fn apply_batch(&mut self, batch: &ChangeBatch) -> Option<usize> {
        let changed = !batch.rows.is_empty();
        if changed && self.shared.must_follow_store() {
            self.shared.outbox.push(UrgentMessage::Changes(TableChanges {
                table: self.table,
                after: self.sync.feed_position().unchanged_since,
                version: batch.version,
                rows: encode_rows(&batch.rows),
            }));
        }
        self.sync.advance(batch.version, newest_version(&batch.rows, batch.version));
        self.observer.apply_changes(&batch.rows);
        changed.then(|| total_bytes(&batch.rows))
    }

    /// Waits before the next call, or until neighbors follow the store again and pass
    /// the changes on.
    async fn wait_to_retry(&self, delay: Duration) {
        let retry_at = Instant::now() + delay;
        while Instant::now() < retry_at && (!self.loaded || self.shared.must_follow_store()) {
            sleep_until(retry_at.min(Instant::now() + NEIGHBOR_CHECK_INTERVAL)).await;
        }
    }

    /// Applies the changes that neighbors pass on. Reads changes from the store if
    /// other entries have received some that do not arrive.
    async fn wait_for_neighbors(&mut self) -> Result<Option<usize>, StoreError> {
        tokio::select! {
            changes = self.sync.next_changes() => {
                let rows = decode_rows(self.name, &changes);
                self.sync.advance(changes.version, newest_version(&rows, changes.version));
                self.observer.apply_changes(&rows);
                return Ok(None);
            }
            () = sleep(NEIGHBOR_CHECK_INTERVAL) => self.observer.check_time(),
        }
        self.checks_behind = if self.sync.is_behind() { self.checks_behind + 1 } else { 0 };
        if self.checks_behind <= MAX_CHECKS_BEHIND {
            return Ok(None);
        }
        self.checks_behind = 0;
        self.poll(Duration::ZERO).await
    }
}

fn newest_version(rows: &[Row], read: StoreVersion) -> Option<StoreVersion> {
    let number = rows.iter().map(|row| row.version).max()?;
    Some(StoreVersion { number, ..read })
}

fn total_bytes(rows: &[Row]) -> usize {
    rows.iter().map(|row| row.value.len()).sum()
}

fn batch_delay(bytes: usize, link_bytes_per_s: f64) -> Duration {
    let transfer_time = Duration::from_secs_f64(bytes as f64 / link_bytes_per_s.max(1.0));
    transfer_time.mul_f64(BATCH_DELAY_FACTOR).clamp(MIN_BATCH_DELAY, MAX_BATCH_DELAY)
}
