//! Directory of the entries' addresses, kept in the store.

use std::collections::HashMap;
use std::net::SocketAddr;

use clementine_decide::ids::EntryId;
use clementine_platform::store::{RowKey, StoreError, Transaction};
use compact_str::CompactString;
use spdlog::warn;

use crate::shared::SharedState;

/// Table of the entries. The key is the entry's name, the value its address.
const ENTRIES_TABLE: &str = "entries";

/// Writes this entry's address to the directory.
pub(super) async fn register(shared: &SharedState, address: SocketAddr) -> Result<(), StoreError> {
    let key = RowKey {
        table: ENTRIES_TABLE.into(),
        partition: CompactString::default(),
        key: shared.settings.entry.0.clone(),
    };
    shared.store.commit(&Transaction::default().put(key, address.to_string().into())).await?;
    Ok(())
}

/// Reads the addresses of the other entries.
pub(super) async fn read_peers(
    shared: &SharedState,
) -> Result<HashMap<EntryId, SocketAddr>, StoreError> {
    let snapshot = shared.store.read(ENTRIES_TABLE).await?;
    let mut peers = HashMap::new();
    for row in &snapshot.rows {
        let id = EntryId(row.key.key.clone());
        if id == shared.settings.entry {
            continue;
        }
        let address = std::str::from_utf8(&row.value).ok().and_then(|text| text.parse().ok());
        if let Some(address) = address {
            peers.insert(id, address);
        } else {
            warn!("peers: the stored address of entry `{}` is malformed", id);
        }
    }
    Ok(peers)
}
