//! Addresses of the entries, kept in the store.

use std::collections::HashMap;
use std::net::SocketAddr;

use clementine_decide::ids::EntryId;
use clementine_platform::store::{RowKey, StoreError, Transaction};
use compact_str::CompactString;
use spdlog::warn;

use crate::shared::SharedState;

/// Table of the entries; the key is the entry's name, the value its address.
const ENTRIES_TABLE: &str = "entries";

/// Writes this entry's address, so that whoever reads the table later finds it.
pub(super) async fn register(shared: &SharedState, address: SocketAddr) -> Result<(), StoreError> {
    let key = RowKey {
        table: ENTRIES_TABLE.into(),
        part: CompactString::default(),
        key: shared.settings.entry.0.clone(),
    };
    shared.store.commit(&Transaction::default().put(key, address.to_string().into())).await?;
    Ok(())
}

/// The addresses of the other entries.
pub(super) async fn others(
    shared: &SharedState,
) -> Result<HashMap<EntryId, SocketAddr>, StoreError> {
    let snapshot = shared.store.read(ENTRIES_TABLE).await?;
    let mut others = HashMap::new();
    for row in &snapshot.rows {
        let id = EntryId(row.key.key.clone());
        if id == shared.settings.entry {
            continue;
        }
        let address = std::str::from_utf8(&row.value).ok().and_then(|text| text.parse().ok());
        if let Some(address) = address {
            others.insert(id, address);
        } else {
            warn!("peers: the address of entry `{}` can't be read", id);
        }
    }
    Ok(others)
}
