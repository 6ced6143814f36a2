//! Follows the list of backend servers.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::fleet::{Backend, ListUpdate};
use clementine_decide::ids::BackendId;
use clementine_platform::backends::{BACKENDS_TABLE, decode_backend};
use clementine_platform::store::{ChangeBatch, Row, Snapshot};
use spdlog::{info, warn};
use tokio::time::Instant;

use super::table::{TableObserver, follow_table};
use crate::shared::SharedState;

/// Time for which a backend server that is missing from a snapshot is kept.
/// Rows that expired during a gap in the changes are written again within this
/// time if the server is alive.
const MISSING_GRACE_PERIOD: Duration = Duration::from_millis(2_200);

/// Follows the list of backend servers until the process ends.
pub(crate) async fn follow_backends(shared: Rc<SharedState>) {
    let mut observer = BackendsObserver { shared: Rc::clone(&shared), missing: HashMap::new() };
    follow_table(&shared, BACKENDS_TABLE, &shared.backend_list_sync, &mut observer).await;
}

struct BackendsObserver {
    shared: Rc<SharedState>,
    /// Known servers that the last snapshots did not contain, and since when.
    missing: HashMap<BackendId, Instant>,
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
        for row in &snapshot.rows {
            self.apply_row(row);
        }
        self.shared.backend_list_loaded.set(true);
        self.remove_missing();
    }

    fn apply_changes(&mut self, batch: ChangeBatch) {
        for row in &batch.rows {
            self.apply_row(row);
        }
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
    fn apply_row(&mut self, row: &Row) {
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
        let update = self.shared.fleet.borrow_mut().upsert(backend.clone(), now);
        if update != ListUpdate::Unchanged {
            log_update(&backend, update, row.version);
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
