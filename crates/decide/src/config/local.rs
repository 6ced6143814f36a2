//! The configuration that a process holds, which never goes back.

use std::collections::VecDeque;
use std::rc::Rc;

use clementine_objects::{ChangeRecord, Revision, Snapshot, SnapshotError};

use super::ConfigUpdate;

/// Changes kept for processes that are a little behind.
const RECENT_CHANGES: usize = 256;

/// The configuration that a process holds.
///
/// Invariants: the revision never goes down; `recent` ends with the change
/// that produced the held revision and has no gap.
#[derive(Debug, Default)]
pub struct LocalConfig {
    snapshot: Option<Rc<Snapshot>>,
    recent: VecDeque<ChangeRecord>,
}

impl LocalConfig {
    /// The snapshot held; `None` before the first one was learnt.
    pub fn snapshot(&self) -> Option<Rc<Snapshot>> {
        self.snapshot.clone()
    }

    /// The revision held, 0 before the first one was learnt.
    pub fn revision(&self) -> Revision {
        self.snapshot.as_ref().map_or(Revision::default(), |snapshot| snapshot.revision)
    }

    /// Takes a whole snapshot if it is newer. Says whether it was taken.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let newer = self.snapshot.as_ref().is_none_or(|held| held.revision < snapshot.revision);
        if newer {
            self.snapshot = Some(Rc::new(snapshot));
            self.recent.clear();
        }
        newer
    }

    /// Takes the next changes; those already held are passed over. Says
    /// whether the revision went up.
    ///
    /// # Errors
    ///
    /// Refuses changes that do not follow on from the revision held. Those
    /// before the refused one stay in force.
    pub fn apply_changes(&mut self, changes: Vec<ChangeRecord>) -> Result<bool, SnapshotError> {
        let before = self.revision();
        for record in changes {
            if record.revision <= self.revision() && self.snapshot.is_some() {
                continue;
            }
            let held = self.snapshot.clone().unwrap_or_default();
            self.snapshot = Some(Rc::new(held.advance(&record)?));
            self.recent.push_back(record);
            if self.recent.len() > RECENT_CHANGES {
                self.recent.pop_front();
            }
        }
        Ok(self.revision() > before)
    }

    /// Takes an update from another process. Says whether the revision went
    /// up.
    ///
    /// # Errors
    ///
    /// Refuses malformed updates and changes that do not follow on.
    pub fn apply_update(&mut self, update: &ConfigUpdate) -> Result<bool, SnapshotError> {
        match update {
            ConfigUpdate::None => Ok(false),
            ConfigUpdate::Changes(bytes) => {
                let changes = serde_json::from_slice(bytes);
                self.apply_changes(changes.map_err(|source| SnapshotError::Malformed { source })?)
            }
            ConfigUpdate::Snapshot(bytes) => Ok(self.apply_snapshot(Snapshot::decode(bytes)?)),
        }
    }

    /// What a process at an older revision has to learn.
    pub fn update_since(&self, revision: Revision) -> ConfigUpdate {
        let Some(snapshot) = self.snapshot.as_ref().filter(|held| held.revision > revision) else {
            return ConfigUpdate::None;
        };
        let missing: Vec<_> =
            self.recent.iter().filter(|record| record.revision > revision).cloned().collect();
        if missing.first().is_some_and(|record| record.revision == revision.next()) {
            return ConfigUpdate::of_changes(&missing);
        }
        ConfigUpdate::Snapshot(snapshot.encode().into())
    }
}
