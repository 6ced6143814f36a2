//! Holds the planner's lease.

use std::rc::Rc;
use std::time::Duration;

use clementine_decide::lease::{LeaseQuorum, LeaseRow, LeaseStep, StoreOutage};
use clementine_platform::store::{Row, RowKey, StoreError, Transaction};
use rand::RngExt;
use spdlog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::hub::Hub;

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
pub(crate) async fn hold_lease(hub: Rc<Hub>) {
    let mut holder = Holder { hub: &hub, held: false, renewal: Renewal::default() };
    let mut look_at = Instant::now();
    while !hub.drain.is_draining() {
        let other = hub.peers.borrow().planner_lease_version(hub.now());
        if let Some(version) = other {
            hub.lease.borrow_mut().record_announcement(version, hub.now());
        }
        let left_alone = other.is_some() && hub.held_lease_version().is_none();
        if Instant::now() >= look_at && !left_alone {
            holder.step().await;
            let spread = hub.rng.borrow_mut().random_range(0.8..1.2);
            let pause = if hub.held_lease_version().is_some() { RENEW_PAUSE } else { LOOK_PAUSE };
            look_at = Instant::now() + pause.mul_f64(spread);
        }
        holder.note_news();
        sleep(LISTEN_PAUSE).await;
    }
    let released = hub.lease.borrow_mut().release(hub.now());
    if let Some((version, row)) = released {
        let released = write(&hub, version, &row).await;
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
    hub: &'a Rc<Hub>,
    held: bool,
    renewal: Renewal,
}

impl Holder<'_> {
    /// Renews the lease, or looks whether it can be taken.
    async fn step(&mut self) {
        match look(self.hub).await {
            Ok(()) => {
                let heard = self.hub.peers.borrow().live_count();
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
        if self.hub.held_lease_version().is_none() {
            return;
        }
        let audience = self.audience();
        info!("planner: lease not renewed, goes_on={} {:?}", audience.allows_extension(), audience);
        self.hub.lease.borrow_mut().extend(audience, self.hub.now());
    }

    fn audience(&mut self) -> LeaseQuorum {
        let now = self.hub.now();
        let newest = self.hub.backend_list_sync.newest_version_anywhere();
        let outage = self.renewal.outage.get_or_insert(StoreOutage::new(newest, now));
        let others_reach_store = outage.others_reach_store(newest, now);
        let peers = self.hub.peers.borrow();
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
        let term = self.hub.lease.borrow().term(self.hub.now());
        if term.is_some() == self.held {
            return;
        }
        self.held = term.is_some();
        self.hub.config_sync.request_repoll();
        self.hub.backend_list_sync.request_repoll();
        info!("planner: lease {} term={:?}", if self.held { "held" } else { "lost" }, term);
    }
}

async fn look(hub: &Hub) -> Result<(), StoreError> {
    let renewal = hub.lease.borrow().renewal(hub.now());
    let step = match renewal {
        Some(step) => step,
        None => read_row(hub).await?,
    };
    let LeaseStep::Write { version, row } = step else { return Ok(()) };
    let sent = hub.now();
    match write(hub, version, &row).await {
        Ok(written) => hub.lease.borrow_mut().record_write(written, row.term, sent),
        // Another process was quicker.
        Err(StoreError::Conflict { .. }) => hub.lease.borrow_mut().record_conflict(),
        Err(error) => return Err(error),
    }
    Ok(())
}

async fn read_row(hub: &Hub) -> Result<LeaseStep, StoreError> {
    let snapshot = hub.store.read(LEASE_TABLE).await?;
    let row = snapshot.rows.iter().find(|row| row.key.key == PLANNER_KEY);
    let read = row.map(decode);
    let read = read.as_ref().map(|(version, row)| (*version, row));
    Ok(hub.lease.borrow_mut().record_read(read, hub.now()))
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

async fn write(hub: &Hub, version: u64, row: &LeaseRow) -> Result<u64, StoreError> {
    let key = RowKey { table: LEASE_TABLE.into(), part: "".into(), key: PLANNER_KEY.into() };
    let value = serde_json::to_vec(row).unwrap_or_default();
    hub.store
        .commit(
            &Transaction::default().require_version(key.clone(), version).put(key, value.into()),
        )
        .await
}
