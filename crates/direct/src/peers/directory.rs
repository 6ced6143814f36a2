//! Addresses of the entries, kept in the store.

use std::collections::HashMap;
use std::net::SocketAddr;

use clementine_decide::ids::EntryId;
use clementine_platform::store::{RowKey, StoreError, Transaction};
use compact_str::CompactString;
use spdlog::warn;

use crate::hub::Hub;

/// Table of the entries; the key is the entry's name, the value its address.
const ENTRIES_TABLE: &str = "entries";

/// Adds this entry to the table and gives the addresses of the others.
pub(super) async fn join(
    hub: &Hub,
    address: SocketAddr,
) -> Result<HashMap<EntryId, SocketAddr>, StoreError> {
    let snapshot = hub.store.read(ENTRIES_TABLE, "").await?;
    let me = &hub.settings.entry;
    let mut others = HashMap::new();
    let mut listed = false;
    for row in &snapshot.rows {
        let id = EntryId(row.key.key.clone());
        let at = std::str::from_utf8(&row.value).ok().and_then(|text| text.parse().ok());
        match at {
            Some(at) if id == *me => listed = at == address,
            Some(at) => {
                others.insert(id, at);
            }
            None => warn!("peers: the address of entry `{}` can't be read", id),
        }
    }
    if !listed {
        let key = RowKey {
            table: ENTRIES_TABLE.into(),
            part: CompactString::default(),
            key: me.0.clone(),
        };
        let put = Transaction::default().put(key, address.to_string().into());
        hub.store.commit(&put).await?;
    }
    Ok(others)
}
