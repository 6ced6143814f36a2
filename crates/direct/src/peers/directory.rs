//! Directory of the entries' addresses, kept in the store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::ids::{DomainId, EntryId, StoreEra};
use clementine_platform::store::{RowKey, StoreError, Transaction};
use compact_str::CompactString;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use spdlog::warn;
use tokio::time::{Instant, sleep};

use super::receivers::Receivers;
use crate::shared::SharedState;

/// Table of the entries. The key is the entry's name, the value an
/// [`EntryRecord`] as JSON.
const ENTRIES_TABLE: &str = "entries";

/// Interval, before jitter, at which the directory is read. Entries also learn
/// the addresses of others from their messages.
const DIRECTORY_INTERVAL: Duration = Duration::from_mins(1);
/// Delay, before jitter, after the directory could not be read.
const DIRECTORY_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval at which the store's era is checked.
const ERA_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum delay after a restore of the store until this entry registers again.
/// All entries do so, and share the store's rate limit.
const RESTORED_MAX_DELAY: Duration = Duration::from_secs(2);

/// Where an entry receives messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EntryRecord {
    /// Address of the entry's socket.
    pub(super) address: SocketAddr,
    /// Failure domain of the entry.
    pub(super) domain: DomainId,
}

/// Registers this entry and follows the directory until the process ends.
pub(super) async fn follow_directory(
    shared: Rc<SharedState>,
    address: SocketAddr,
    receivers: Rc<RefCell<Receivers>>,
) {
    look_for_earlier_entries(&shared).await;
    // Era of the store in which this entry is registered.
    let mut registered = None;
    loop {
        let era = shared.store.era();
        let delay = match register_and_read(&shared, address, registered != Some(era)).await {
            Ok(directory) => {
                receivers.borrow_mut().replace(directory);
                // Later ones are heard, and rows of removed entries stay in the store.
                if registered.is_none() {
                    shared.observe_entries(receivers.borrow().known_count());
                }
                registered = Some(era);
                DIRECTORY_INTERVAL
            }
            Err(error) => {
                warn!("peers: cannot access the directory of entries: {}", error);
                DIRECTORY_RETRY_DELAY
            }
        };
        let jitter = shared.rng.borrow_mut().random_range(0.7..1.3);
        wait_for_next_read(&shared, era, delay.mul_f64(jitter)).await;
    }
}

/// Waits for `delay`, or until some time after the store has been restored from an
/// older copy, which may lack this entry's record.
async fn wait_for_next_read(shared: &SharedState, era: StoreEra, delay: Duration) {
    let end = Instant::now() + delay;
    while Instant::now() < end {
        if shared.store_era() > era {
            let jitter = shared.rng.borrow_mut().random_range(0.0..1.0);
            return sleep(RESTORED_MAX_DELAY.mul_f64(jitter)).await;
        }
        sleep(ERA_CHECK_INTERVAL.min(end.saturating_duration_since(Instant::now()))).await;
    }
}

/// Registers this entry before it reads the directory: of two entries that start
/// at the same time, the second one to read finds the first.
async fn register_and_read(
    shared: &SharedState,
    address: SocketAddr,
    unregistered: bool,
) -> Result<BTreeMap<EntryId, EntryRecord>, StoreError> {
    if unregistered {
        register(shared, address).await?;
    }
    let mut peers = read_directory(shared).await?;
    peers.remove(&shared.settings.entry);
    Ok(peers)
}

/// Notes that there were no entries before this one, if the directory is empty when it
/// starts.
async fn look_for_earlier_entries(shared: &SharedState) {
    match read_directory(shared).await {
        Ok(directory) if directory.is_empty() => {
            shared.retry_budgets.borrow_mut().record_no_past();
        }
        Ok(_) => {}
        Err(error) => warn!("peers: cannot read the directory of entries: {}", error),
    }
}

/// Writes this entry's record to the directory.
async fn register(shared: &SharedState, address: SocketAddr) -> Result<(), StoreError> {
    let key = RowKey {
        table: ENTRIES_TABLE.into(),
        partition: CompactString::default(),
        key: shared.settings.entry.0.clone(),
    };
    let record = EntryRecord { address, domain: shared.settings.domain.clone() };
    let value = serde_json::to_vec(&record).unwrap_or_default();
    shared.store.commit(&Transaction::default().put(key, value.into())).await?;
    Ok(())
}

/// Reads the records of all entries. Malformed ones are left out.
async fn read_directory(
    shared: &SharedState,
) -> Result<BTreeMap<EntryId, EntryRecord>, StoreError> {
    let snapshot = shared.store.read(ENTRIES_TABLE).await?;
    let mut directory = BTreeMap::new();
    for row in &snapshot.rows {
        let id = EntryId(row.key.key.clone());
        match serde_json::from_slice(&row.value) {
            Ok(record) => {
                directory.insert(id, record);
            }
            Err(error) => warn!("peers: the record of entry `{}` is malformed: {}", id, error),
        }
    }
    Ok(directory)
}
