//! Acquires and renews the planner's lease.

use std::rc::Rc;
use std::time::Duration;

use clementine_decide::ids::StoreVersion;
use clementine_decide::lease::{LeaseQuorum, LeaseRow, LeaseStep, StoreOutage};
use clementine_platform::store::{Row, RowKey, StoreError, Transaction};
use rand::RngExt;
use spdlog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::shared::SharedState;

/// Table of leases in the store.
const LEASE_TABLE: &str = "leases";
/// Key of the planner's lease.
const PLANNER_KEY: &str = "planner";
/// Interval of renewals, before jitter.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_100);
/// Interval, before jitter, at which the row is read while no entry is known to
/// hold the lease.
const ACQUIRE_INTERVAL: Duration = Duration::from_millis(600);
/// Maximum delay before the first attempt. Entries that start together would all
/// read the row before they hear of each other.
const MAX_FIRST_ATTEMPT_DELAY: Duration = Duration::from_millis(900);
/// Interval at which the messages of the other entries are evaluated.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Renews the planner's lease, or acquires it when it is free, until the process
/// shuts down. The row is not read while another entry announces that it holds
/// the lease, and only by entries that follow the store.
pub(crate) async fn maintain_lease(shared: Rc<SharedState>) {
    let mut task = LeaseTask { shared: &shared, held: false, renewal: LastRenewal::default() };
    let delay = shared.rng.borrow_mut().random_range(0.3..1.0);
    let mut next_attempt = Instant::now() + MAX_FIRST_ATTEMPT_DELAY.mul_f64(delay);
    while !shared.drain.is_draining() {
        shared.lease.borrow_mut().record_era(shared.store_era());
        let announced = shared.peers.borrow().planner(shared.now());
        if let Some(planner) = &announced {
            shared.lease.borrow_mut().record_announcement(planner.lease_version, shared.now());
        }
        let held = shared.held_lease_version().is_some();
        let may_acquire = announced.is_none() && shared.must_follow_store();
        if Instant::now() >= next_attempt && (held || may_acquire) {
            task.renew_or_acquire().await;
            let jitter = shared.rng.borrow_mut().random_range(0.8..1.2);
            let interval = if shared.held_lease_version().is_some() {
                RENEW_INTERVAL
            } else {
                ACQUIRE_INTERVAL
            };
            next_attempt = Instant::now() + interval.mul_f64(jitter);
        }
        task.log_transition();
        sleep(PEER_CHECK_INTERVAL).await;
    }
    let released = shared.lease.borrow_mut().release(shared.now());
    if let Some((version, row)) = released {
        let written = write_row(&shared, version, &row).await;
        info!("planner: lease released, row written: {}", written.is_ok());
    }
}

/// State at the last successful call to the store, and the outage since then.
#[derive(Debug, Default)]
struct LastRenewal {
    /// Number of live entries.
    live: usize,
    outage: Option<StoreOutage>,
}

/// The task that maintains the lease.
struct LeaseTask<'a> {
    shared: &'a Rc<SharedState>,
    /// Whether the lease was held at the last check.
    held: bool,
    renewal: LastRenewal,
}

impl LeaseTask<'_> {
    /// Renews the lease if it is held, and otherwise acquires it if it is free.
    /// Extends a held lease if the store fails.
    async fn renew_or_acquire(&mut self) {
        match step(self.shared).await {
            Ok(()) => {
                let live = self.shared.peers.borrow().live_count();
                self.renewal = LastRenewal { live, outage: None };
            }
            Err(error) => {
                warn!("planner: the lease cannot be read or written: {}", error);
                self.extend();
            }
        }
    }

    /// Extends a held lease without the store, if the other entries receive this
    /// entry's messages.
    fn extend(&mut self) {
        if self.shared.held_lease_version().is_none() {
            return;
        }
        let quorum = self.quorum();
        info!("planner: lease not renewed, goes_on={} {:?}", quorum.allows_extension(), quorum);
        self.shared.lease.borrow_mut().extend(quorum, self.shared.now());
    }

    fn quorum(&mut self) -> LeaseQuorum {
        let now = self.shared.now();
        let newest = self.shared.backend_list_sync.newest_version_anywhere();
        let outage = self.renewal.outage.get_or_insert(StoreOutage::new(newest, now));
        let others_reach_store = outage.others_reach_store(newest, now);
        let peers = self.shared.peers.borrow();
        LeaseQuorum {
            live: peers.live_count(),
            live_at_renewal: self.renewal.live,
            other_holder: peers.planner(now).is_some(),
            others_reach_store,
        }
    }

    /// Logs that the lease was acquired or lost.
    fn log_transition(&mut self) {
        let fence = self.shared.lease.borrow().fence(self.shared.now());
        if fence.is_some() == self.held {
            return;
        }
        self.held = fence.is_some();
        info!("planner: lease {} fence={:?}", if self.held { "held" } else { "lost" }, fence);
    }
}

async fn step(shared: &SharedState) -> Result<(), StoreError> {
    let renewal = shared.lease.borrow().renewal(shared.now());
    let step = match renewal {
        Some(step) => step,
        None => read_row(shared).await?,
    };
    let LeaseStep::Write { expected, row } = step else { return Ok(()) };
    let sent = shared.now();
    match write_row(shared, expected, &row).await {
        Ok(written) => shared.lease.borrow_mut().record_write(written, row.term, sent),
        // Another process has written the row first.
        Err(StoreError::Conflict { .. }) => shared.lease.borrow_mut().record_conflict(),
        Err(error) => return Err(error),
    }
    Ok(())
}

async fn read_row(shared: &SharedState) -> Result<LeaseStep, StoreError> {
    let snapshot = shared.store.read(LEASE_TABLE).await?;
    let row = snapshot.rows.iter().find(|row| row.key.key == PLANNER_KEY);
    let content =
        row.map(|row| (StoreVersion { number: row.version, ..snapshot.version }, decode(row)));
    let read = content.as_ref().map(|(version, row)| (*version, row));
    Ok(shared.lease.borrow_mut().record_read(read, shared.now()))
}

/// Decodes the lease row. A malformed row counts as a free lease and is
/// overwritten.
fn decode(row: &Row) -> LeaseRow {
    serde_json::from_slice(&row.value).unwrap_or_else(|error| {
        warn!("planner: the lease row is malformed and is overwritten: {}", error);
        LeaseRow { holder: None, term: 0 }
    })
}

/// Writes the row if the number of its version is still `expected`.
async fn write_row(
    shared: &SharedState,
    expected: u64,
    row: &LeaseRow,
) -> Result<StoreVersion, StoreError> {
    let key = RowKey { table: LEASE_TABLE.into(), partition: "".into(), key: PLANNER_KEY.into() };
    let value = serde_json::to_vec(row).unwrap_or_default();
    shared
        .store
        .commit(
            &Transaction::default().require_version(key.clone(), expected).put(key, value.into()),
        )
        .await
}
