//! Holds the planner's lease and plans as long as it is held.

use std::rc::Rc;
use std::time::Duration;

use clementine_decide::lease::{LeaseLimits, LeaseRow, LeaseStep, LeaseWatch};
use clementine_platform::store::{Row, RowKey, StoreError, Transaction};
use rand::RngExt;
use spdlog::{info, warn};
use tokio::time::{Instant, sleep};

use super::orders::Orders;
use crate::hub::Hub;

/// Table of the system's leases.
const LEASE_TABLE: &str = "leases";
/// Key of the planner's lease.
const PLANNER_KEY: &str = "planner";
/// Pause between two renewals.
const RENEW_PAUSE: Duration = Duration::from_millis(1_100);
/// Pause between two looks at the row while nobody is known to hold the lease.
const LOOK_PAUSE: Duration = Duration::from_millis(600);
/// Pause between two looks at the plan.
const PLAN_PAUSE: Duration = Duration::from_millis(200);

/// Plans whenever this process holds the lease, until it is to stop. While
/// another entry says that it holds the lease, the row is left alone.
pub(crate) async fn plan_while_holder(hub: Rc<Hub>) {
    let mut watch =
        LeaseWatch::new(LeaseLimits::default(), hub.settings.entry.clone(), hub.incarnation);
    let mut orders = Orders::new(Rc::clone(&hub));
    let mut look_at = Instant::now();
    let mut was_holder = false;
    while !hub.drain.is_draining() {
        let other = hub.peers.borrow().planner(hub.now());
        if let Some(version) = other {
            watch.note_heard(version, hub.now());
        }
        let settled = other.is_some() && hub.plans.get().is_none();
        if Instant::now() >= look_at && !settled {
            if let Err(error) = look(&hub, &mut watch).await {
                warn!("planner: the lease can't be read or written: {}", error);
            }
            let spread = hub.rng.borrow_mut().random_range(0.8..1.2);
            let pause = if hub.plans.get().is_some() { RENEW_PAUSE } else { LOOK_PAUSE };
            look_at = Instant::now() + pause.mul_f64(spread);
        }
        let term = watch.term(hub.now());
        hub.plans.set(watch.held_version(hub.now()));
        if term.is_some() != was_holder {
            was_holder = term.is_some();
            hub.config_followed.ask_again();
            hub.list_followed.ask_again();
            info!("planner: lease {} term={:?}", if was_holder { "held" } else { "lost" }, term);
        }
        if let Some(term) = term {
            orders.step(term);
        }
        sleep(PLAN_PAUSE).await;
    }
    // The others look for a planner as soon as nobody says that it plans.
    hub.plans.set(None);
    if let Some((version, row)) = watch.release(hub.now()) {
        let released = write(&hub, version, &row).await;
        info!("planner: lease given back: {:?}", released.is_ok());
    }
}

async fn look(hub: &Hub, watch: &mut LeaseWatch) -> Result<(), StoreError> {
    let step = match watch.renewal(hub.now()) {
        Some(step) => step,
        None => read_row(hub, watch).await?,
    };
    let LeaseStep::Write { version, row } = step else { return Ok(()) };
    let sent = hub.now();
    match write(hub, version, &row).await {
        Ok(written) => watch.note_written(written, row.term, sent),
        // Another process was quicker.
        Err(StoreError::Conflict { .. }) => watch.note_conflict(),
        Err(error) => return Err(error),
    }
    Ok(())
}

async fn read_row(hub: &Hub, watch: &mut LeaseWatch) -> Result<LeaseStep, StoreError> {
    let snapshot = hub.store.read(LEASE_TABLE).await?;
    let row = snapshot.rows.iter().find(|row| row.key.key == PLANNER_KEY);
    let read = row.map(decode);
    Ok(watch.note_row(read.as_ref().map(|(version, row)| (*version, row)), hub.now()))
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
        .commit(&Transaction::default().when(key.clone(), version).put(key, value.into()))
        .await
}
