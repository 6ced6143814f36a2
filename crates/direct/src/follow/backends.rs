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

use super::table::{TableView, follow};
use crate::shared::SharedState;

/// Time after a gap in which entries that lapsed meanwhile come back.
const LAPSED_RETURN: Duration = Duration::from_millis(2_200);

/// Follows the list of backend servers until the process ends.
pub(crate) async fn follow_backends(shared: Rc<SharedState>) {
    let mut view = BackendsView { shared: Rc::clone(&shared), missing: HashMap::new() };
    follow(&shared, BACKENDS_TABLE, &shared.backend_list_sync, &mut view).await;
}

struct BackendsView {
    shared: Rc<SharedState>,
    /// Servers that a whole reading did not name, and since when.
    missing: HashMap<BackendId, Instant>,
}

impl TableView for BackendsView {
    fn note_snapshot(&mut self, snapshot: Snapshot) {
        let named: HashSet<&str> = snapshot.rows.iter().map(|row| row.key.key.as_str()).collect();
        let fleet = self.shared.fleet.borrow();
        let known = fleet.iter().map(|member| member.backend.id.clone());
        let missing = known.filter(|id| !named.contains(id.as_str()));
        let now = Instant::now();
        for id in missing {
            self.missing.entry(id).or_insert(now);
        }
        drop(fleet);
        for row in &snapshot.rows {
            self.note_row(row);
        }
        self.shared.backend_list_loaded.set(true);
        self.drop_missing();
    }

    fn note_changes(&mut self, feed: ChangeBatch) {
        for row in &feed.rows {
            self.note_row(row);
        }
        self.drop_missing();
    }
}

fn log_listed(backend: &Backend, listed: ListUpdate, version: u64) {
    let word = if listed == ListUpdate::Started { "listed" } else { "changed" };
    let layers = backend.layers.map_or_else(|| "none".into(), |layers| layers.to_string());
    info!(
        "fleet: backend={} {} version={} pool={} address={} domain={} state={:?} layers={}",
        backend.id,
        word,
        version,
        backend.pool,
        backend.address,
        backend.domain,
        backend.state,
        layers
    );
}

impl BackendsView {
    fn note_row(&mut self, row: &Row) {
        let id = BackendId(row.key.key.clone());
        self.missing.remove(&id);
        if row.removed {
            return self.remove(&id, "entry-removed");
        }
        let backend = match decode_backend(id.as_str(), &row.value) {
            Ok(backend) => backend,
            Err(error) => {
                warn!("fleet: entry `{}` of version {} is passed over: {}", id, row.version, error);
                return self.remove(&id, "entry-unreadable");
            }
        };
        let now = self.shared.now();
        let listed = self.shared.fleet.borrow_mut().upsert(backend.clone(), now);
        if listed != ListUpdate::Unchanged {
            log_listed(&backend, listed, row.version);
        }
    }

    fn drop_missing(&mut self) {
        let due: Vec<BackendId> = self
            .missing
            .iter()
            .filter(|(_, since)| since.elapsed() >= LAPSED_RETURN)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
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
