//! Holds the planner's lease.

use std::rc::Rc;
use std::time::Duration;

use clementine_decide::lease::{LeaseQuorum, LeaseRow, LeaseStep, StoreOutage};
use clementine_platform::store::{Row, RowKey, StoreError, Transaction};
use rand::RngExt;
use spdlog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::shared::SharedState;

/// Table of the system's leases.
const LEASE_TABLE: &str = "leases";
/// Key of the planner's lease.
const PLANNER_KEY: &str = "planner";
/// Pause between two renewals.
const RENEW_PAUSE: Duration = Duration::from_millis(1_100);
/// Pause between two looks at the row while nobody is known to hold the lease.
const LOOK_PAUSE: Duration = Duration::from_millis(600);
/// Pause between two looks at what the others say.
const LISTEN_PAUSE: Duration = Duration::from_millis(200);

/// Holds the planner's lease, or takes it when nobody does, until the process
/// is to stop. While another entry says that it holds the lease, the row is
/// left alone.
pub(crate) async fn hold_lease(shared: Rc<SharedState>) {
    let mut holder = Holder { shared: &shared, held: false, renewal: Renewal::default() };
    let mut look_at = Instant::now();
    while !shared.drain.is_draining() {
        let other = shared.peers.borrow().planner_lease_version(shared.now());
        if let Some(version) = other {
            shared.lease.borrow_mut().record_announcement(version, shared.now());
        }
        let left_alone = other.is_some() && shared.held_lease_version().is_none();
        if Instant::now() >= look_at && !left_alone {
            holder.step().await;
            let spread = shared.rng.borrow_mut().random_range(0.8..1.2);
            let pause =
                if shared.held_lease_version().is_some() { RENEW_PAUSE } else { LOOK_PAUSE };
            look_at = Instant::now() + pause.mul_f64(spread);
        }
        holder.note_news();
        sleep(LISTEN_PAUSE).await;
    }
    let released = shared.lease.borrow_mut().release(shared.now());
    if let Some((version, row)) = released {
        let released = write(&shared, version, &row).await;
        info!("planner: lease given back: {:?}", released.is_ok());
    }
}

/// What was known at the last renewal, and the outage since.
#[derive(Debug, Default)]
struct Renewal {
    heard: usize,
    outage: Option<StoreOutage>,
}

/// One process on its way to the lease, or with it.
struct Holder<'a> {
    shared: &'a Rc<SharedState>,
    held: bool,
    renewal: Renewal,
}

impl Holder<'_> {
    /// Renews the lease, or looks whether it can be taken.
    async fn step(&mut self) {
        match look(self.shared).await {
            Ok(()) => {
                let heard = self.shared.peers.borrow().live_count();
                self.renewal = Renewal { heard, outage: None };
            }
            Err(error) => {
                warn!("planner: the lease can't be read or written: {}", error);
                self.go_on();
            }
        }
    }

    /// Goes on without a renewal, if this process holds the lease and the others
    /// follow.
    fn go_on(&mut self) {
        if self.shared.held_lease_version().is_none() {
            return;
        }
        let audience = self.audience();
        info!("planner: lease not renewed, goes_on={} {:?}", audience.allows_extension(), audience);
        self.shared.lease.borrow_mut().extend(audience, self.shared.now());
    }

    fn audience(&mut self) -> LeaseQuorum {
        let now = self.shared.now();
        let newest = self.shared.backend_list_sync.newest_version_anywhere();
        let outage = self.renewal.outage.get_or_insert(StoreOutage::new(newest, now));
        let others_reach_store = outage.others_reach_store(newest, now);
        let peers = self.shared.peers.borrow();
        LeaseQuorum {
            live: peers.live_count(),
            live_at_renewal: self.renewal.heard,
            other_holder: peers.planner_lease_version(now).is_some(),
            others_reach_store,
        }
    }

    /// Logs that the lease was won or lost. What the store's tables hold is
    /// asked again, by the pauses of a holder.
    fn note_news(&mut self) {
        let term = self.shared.lease.borrow().term(self.shared.now());
        if term.is_some() == self.held {
            return;
        }
        self.held = term.is_some();
        self.shared.config_sync.request_repoll();
        self.shared.backend_list_sync.request_repoll();
        info!("planner: lease {} term={:?}", if self.held { "held" } else { "lost" }, term);
    }
}

async fn look(shared: &SharedState) -> Result<(), StoreError> {
    let renewal = shared.lease.borrow().renewal(shared.now());
    let step = match renewal {
        Some(step) => step,
        None => read_row(shared).await?,
    };
    let LeaseStep::Write { version, row } = step else { return Ok(()) };
    let sent = shared.now();
    match write(shared, version, &row).await {
        Ok(written) => shared.lease.borrow_mut().record_write(written, row.term, sent),
        // Another process was quicker.
        Err(StoreError::Conflict { .. }) => shared.lease.borrow_mut().record_conflict(),
        Err(error) => return Err(error),
    }
    Ok(())
}

async fn read_row(shared: &SharedState) -> Result<LeaseStep, StoreError> {
    let snapshot = shared.store.read(LEASE_TABLE).await?;
    let row = snapshot.rows.iter().find(|row| row.key.key == PLANNER_KEY);
    let read = row.map(decode);
    let read = read.as_ref().map(|(version, row)| (*version, row));
    Ok(shared.lease.borrow_mut().record_read(read, shared.now()))
}

/// A row that can't be read is held by nobody.
fn decode(row: &Row) -> (u64, LeaseRow) {
    match serde_json::from_slice(&row.value) {
        Ok(content) => (row.version, content),
        Err(error) => {
            warn!("planner: the lease's row can't be read and is replaced: {}", error);
            (row.version, LeaseRow { holder: None, term: 0 })
        }
    }
}

async fn write(shared: &SharedState, version: u64, row: &LeaseRow) -> Result<u64, StoreError> {
    let key = RowKey { table: LEASE_TABLE.into(), part: "".into(), key: PLANNER_KEY.into() };
    let value = serde_json::to_vec(row).unwrap_or_default();
    shared
        .store
        .commit(
            &Transaction::default().require_version(key.clone(), version).put(key, value.into()),
        )
        .await
}
