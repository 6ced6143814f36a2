//! Follows the list of backend servers.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::fleet::{Backend, ListUpdate, Member};
use clementine_decide::ids::{BackendId, StoreEra};
use clementine_decide::peers::FollowedTable;
use clementine_platform::backends::{BACKENDS_TABLE, decode_backend};
use clementine_platform::store::{Row, Snapshot};
use spdlog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::table::{TableObserver, follow_table};
use crate::engines::{confirm_identity, doubt_former_owners};
use crate::shared::SharedState;

/// Time for which a backend server that is missing from a snapshot is kept.
/// Rows that expired during a gap in the changes are written again within this
/// time if the server is alive.
const MISSING_GRACE_PERIOD: Duration = Duration::from_millis(2_200);

/// Follows the list of backend servers until the process ends.
pub(crate) async fn follow_backends(shared: Rc<SharedState>) {
    let mut observer =
        BackendsObserver { shared: Rc::clone(&shared), missing: HashMap::new(), era: None };
    follow_table(&shared, FollowedTable::Backends, BACKENDS_TABLE, &mut observer).await;
}

/// Where a row was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RowSource {
    /// The current list.
    List,
    /// An older copy from which the store was restored.
    RestoredCopy,
}

struct BackendsObserver {
    shared: Rc<SharedState>,
    /// Known servers that the last snapshots did not contain, and since when.
    missing: HashMap<BackendId, Instant>,
    /// Era of the store of the last snapshot.
    era: Option<StoreEra>,
}

impl TableObserver for BackendsObserver {
    fn apply_snapshot(&mut self, snapshot: Snapshot) {
        let listed: HashSet<&str> = snapshot.rows.iter().map(|row| row.key.key.as_str()).collect();
        let fleet = self.shared.fleet.borrow();
        let known = fleet.iter().map(|member| member.backend.id.clone());
        let missing = known.filter(|id| !listed.contains(id.as_str()));
        let now = Instant::now();
        for id in missing {
            self.missing.entry(id).or_insert(now);
        }
        drop(fleet);
        let restored = self.era.is_some_and(|era| era < snapshot.version.era);
        self.era = Some(snapshot.version.era);
        for row in &snapshot.rows {
            self.apply_row(row, if restored { RowSource::RestoredCopy } else { RowSource::List });
        }
        self.shared.backend_list_loaded.set(true);
        self.remove_missing();
    }

    fn apply_changes(&mut self, rows: &[Row]) {
        for row in rows {
            self.apply_row(row, RowSource::List);
        }
        self.remove_missing();
    }

    fn check_time(&mut self) {
        self.remove_missing();
    }
}

fn log_update(backend: &Backend, update: ListUpdate, version: u64) {
    let change = if update == ListUpdate::Started { "listed" } else { "changed" };
    let layers = backend.layers.map_or_else(|| "none".into(), |layers| layers.to_string());
    info!(
        "fleet: backend={} {} version={} pool={} address={} domain={} state={:?} layers={}",
        backend.id,
        change,
        version,
        backend.pool,
        backend.address,
        backend.domain,
        backend.state,
        layers
    );
}

impl BackendsObserver {
    fn apply_row(&mut self, row: &Row, source: RowSource) {
        let id = BackendId(row.key.key.clone());
        self.missing.remove(&id);
        if row.removed {
            return self.remove(&id, "entry-removed");
        }
        let backend = match decode_backend(id.as_str(), &row.value) {
            Ok(backend) => backend,
            Err(error) => {
                warn!("fleet: row `{}` of version {} is malformed: {}", id, row.version, error);
                return self.remove(&id, "entry-unreadable");
            }
        };
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        let update = match source {
            RowSource::List => fleet.upsert(backend.clone(), now),
            RowSource::RestoredCopy => fleet.upsert_restored(backend.clone(), now),
        };
        drop(fleet);
        if update != ListUpdate::Unchanged {
            log_update(&backend, update, row.version);
            self.shared.place_freed(&backend.pool);
        }
        // A server keeps its address until it ends.
        if update == ListUpdate::Started {
            doubt_former_owners(&self.shared, &id);
        }
        match source {
            RowSource::List => self.confirm(&id),
            RowSource::RestoredCopy if self.is_unconfirmed(&id) => {
                info!("fleet: backend={} down reason=restored-row", id);
                spawn_local(confirm_identity(Rc::clone(&self.shared), id));
            }
            RowSource::RestoredCopy => {}
        }
    }

    fn is_unconfirmed(&self, id: &BackendId) -> bool {
        self.shared.fleet.borrow().get(id).is_some_and(Member::is_unconfirmed)
    }

    /// A server that writes its row after the store was restored is alive, unless another
    /// one has its address.
    fn confirm(&self, id: &BackendId) {
        if !self.is_unconfirmed(id) || self.shared.fleet.borrow().is_address_taken(id) {
            return;
        }
        if self.shared.fleet.borrow_mut().get_mut(id).is_some_and(Member::confirm_identity) {
            info!("fleet: backend={} up, it has written its row again", id);
            self.shared.places_freed();
        }
    }

    /// Removes the servers whose grace period has ended.
    fn remove_missing(&mut self) {
        let expired: Vec<BackendId> = self
            .missing
            .iter()
            .filter(|(_, since)| since.elapsed() >= MISSING_GRACE_PERIOD)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.missing.remove(&id);
            self.remove(&id, "entry-missing");
        }
    }

    fn remove(&self, id: &BackendId, reason: &str) {
        if self.shared.fleet.borrow_mut().remove(id, self.shared.now()) {
            info!("fleet: backend={} removed reason={}", id, reason);
        }
    }
}
