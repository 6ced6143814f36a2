//! Directory of the entries' addresses, kept in the store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::ids::{DomainId, EntryId};
use clementine_platform::store::{RowKey, StoreError, Transaction};
use compact_str::CompactString;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use spdlog::warn;
use tokio::time::sleep;

use super::receivers::Receivers;
use crate::shared::SharedState;

/// Table of the entries. The key is the entry's name, the value an
/// [`EntryRecord`] as JSON.
const ENTRIES_TABLE: &str = "entries";

/// Interval, before jitter, at which the directory is read. Entries also learn
/// the addresses of others from their messages.
const DIRECTORY_INTERVAL: Duration = Duration::from_secs(60);
/// Delay before the directory is read for the second time. Of entries that start
/// at the same time, the first one to read finds none of the others.
const DIRECTORY_SECOND_READ_DELAY: Duration = Duration::from_secs(5);
/// Delay, before jitter, after the directory could not be read.
const DIRECTORY_RETRY_DELAY: Duration = Duration::from_secs(1);
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
    let mut reads = 0;
    loop {
        let delay = match register_and_read(&shared, address, reads == 0).await {
            Ok(directory) => {
                receivers.borrow_mut().replace(directory);
                reads += 1;
                if reads == 1 { DIRECTORY_SECOND_READ_DELAY } else { DIRECTORY_INTERVAL }
            }
            Err(error) => {
                warn!("peers: cannot access the directory of entries: {}", error);
                DIRECTORY_RETRY_DELAY
            }
        };
        let jitter = shared.rng.borrow_mut().random_range(0.7..1.3);
        sleep(delay.mul_f64(jitter)).await;
    }
}

/// Registers this entry before it reads the directory: of two entries that start
/// at the same time, the second one to read finds the first.
async fn register_and_read(
    shared: &SharedState,
    address: SocketAddr,
    first: bool,
) -> Result<BTreeMap<EntryId, EntryRecord>, StoreError> {
    if first {
        register(shared, address).await?;
    }
    read_peers(shared).await
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

/// Reads the records of the other entries. Malformed ones are left out.
async fn read_peers(shared: &SharedState) -> Result<BTreeMap<EntryId, EntryRecord>, StoreError> {
    let snapshot = shared.store.read(ENTRIES_TABLE).await?;
    let mut peers = BTreeMap::new();
    for row in &snapshot.rows {
        let id = EntryId(row.key.key.clone());
        if id == shared.settings.entry {
            continue;
        }
        match serde_json::from_slice(&row.value) {
            Ok(record) => {
                peers.insert(id, record);
            }
            Err(error) => warn!("peers: the record of entry `{}` is malformed: {}", id, error),
        }
    }
    Ok(peers)
}
