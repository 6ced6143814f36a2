//! Follows one table of the store.

use std::time::Duration;

use clementine_platform::store::{ChangeBatch, Row, Snapshot, StoreError};
use rand::RngExt;
use spdlog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::shared::{SharedState, TableSync};

/// Time for which the store may hold a question for changes. That a question
/// has gone silent is learned from the other entries, which know of changes
/// that it should have brought.
const FEED_WAIT: Duration = Duration::from_secs(10);
/// The same time for the entry that holds the planner's lease, so that one
/// entry notices soon when all questions have gone silent.
const PLANNER_FEED_WAIT: Duration = Duration::from_millis(1_500);
/// Least and longest pause after changes, in which more of them come together.
const GATHER_AT_LEAST: Duration = Duration::from_millis(250);
const GATHER_AT_MOST: Duration = Duration::from_millis(900);
/// Pause after changes as a multiple of the time that they took on the
/// instance's link, which callers share.
const GATHER_FACTOR: f64 = 3.0;
/// Pause after an answer without changes that came sooner than this, so that a
/// store that doesn't wait isn't asked without pause.
const UNWAITED: Duration = Duration::from_millis(500);
/// First and longest pause after a call that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_200);

/// What the follower of a table is told.
pub(super) trait TableView {
    /// The whole table, at the start and after a gap.
    fn note_snapshot(&mut self, snapshot: Snapshot);
    /// Changes since the last call.
    fn note_changes(&mut self, feed: ChangeBatch);
}

/// Follows a table until the process ends.
pub(super) async fn follow(
    shared: &SharedState,
    table: &'static str,
    followed: &TableSync,
    view: &mut impl TableView,
) {
    let mut version = None;
    let mut pause = FIRST_PAUSE;
    let mut reached = true;
    loop {
        match step(shared, table, followed, &mut version, view).await {
            Ok(changed) => {
                if let Some(bytes) = changed {
                    sleep(gather_pause(bytes, shared.settings.link_bytes_per_s)).await;
                }
                if !reached {
                    info!("store: table `{}` is followed again at version {:?}", table, version);
                }
                reached = true;
                pause = FIRST_PAUSE;
            }
            Err(error) => {
                shared.metrics.count_store_failure(table);
                if reached {
                    warn!("store: table `{}` can't be followed: {}", table, error);
                }
                reached = false;
                let drawn = shared.rng.borrow_mut().random_range(0.5..1.0);
                sleep(pause.mul_f64(drawn)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Makes one call; gives the size of the changes, if there were any, in bytes.
async fn step(
    shared: &SharedState,
    table: &'static str,
    followed: &TableSync,
    version: &mut Option<u64>,
    view: &mut impl TableView,
) -> Result<Option<usize>, StoreError> {
    let Some(after) = *version else {
        let snapshot = shared.store.read(table).await?;
        *version = Some(snapshot.version);
        followed.advance(snapshot.version, newest(&snapshot.rows));
        let size = size(&snapshot.rows);
        view.note_snapshot(snapshot);
        return Ok(Some(size));
    };
    let asked = Instant::now();
    let wait = if shared.held_lease_version().is_some() { PLANNER_FEED_WAIT } else { FEED_WAIT };
    let answer = tokio::select! {
        answer = shared.store.poll_changes(table, after, wait) => answer,
        () = followed.repoll_needed() => return Ok(None),
    };
    match answer {
        Ok(feed) => {
            *version = Some(feed.version.max(after));
            let changed = (!feed.rows.is_empty()).then(|| size(&feed.rows));
            followed.advance(feed.version.max(after), newest(&feed.rows));
            view.note_changes(feed);
            if changed.is_none() && asked.elapsed() < UNWAITED {
                sleep(UNWAITED).await;
            }
            Ok(changed)
        }
        Err(StoreError::HistoryGone) => {
            info!("store: the history of table `{}` after {} is gone", table, after);
            *version = None;
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

fn newest(rows: &[Row]) -> Option<u64> {
    rows.iter().map(|row| row.version).max()
}

fn size(rows: &[Row]) -> usize {
    rows.iter().map(|row| row.value.len()).sum()
}

fn gather_pause(bytes: usize, link_bytes_per_s: f64) -> Duration {
    let taken = Duration::from_secs_f64(bytes as f64 / link_bytes_per_s.max(1.0));
    taken.mul_f64(GATHER_FACTOR).clamp(GATHER_AT_LEAST, GATHER_AT_MOST)
}
