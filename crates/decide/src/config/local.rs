//! The local copy of the configuration.

use std::collections::VecDeque;
use std::rc::Rc;

use clementine_objects::{ChangeRecord, Revision, Snapshot, SnapshotError};

use super::ConfigUpdate;

/// Recent changes kept, so that processes slightly behind can be sent changes
/// instead of a full snapshot.
const RECENT_CHANGES: usize = 256;

/// A process's local copy of the configuration.
///
/// Invariants: the revision never decreases; `recent` is contiguous and, unless
/// empty, ends with the change that produced the current revision.
#[derive(Debug, Default)]
pub struct LocalConfig {
    snapshot: Option<Rc<Snapshot>>,
    recent: VecDeque<ChangeRecord>,
}

impl LocalConfig {
    /// The current snapshot, or `None` before the first one was received.
    pub fn snapshot(&self) -> Option<Rc<Snapshot>> {
        self.snapshot.clone()
    }

    /// The current revision, or 0 before the first one was received.
    pub fn revision(&self) -> Revision {
        self.snapshot.as_ref().map_or(Revision::default(), |snapshot| snapshot.revision)
    }

    /// Installs a snapshot if it is newer than the current one. Returns whether
    /// it was installed.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let newer =
            self.snapshot.as_ref().is_none_or(|current| current.revision < snapshot.revision);
        if newer {
            self.snapshot = Some(Rc::new(snapshot));
            self.recent.clear();
        }
        newer
    }

    /// Applies changes in order and skips those already applied. Returns whether
    /// the revision increased.
    ///
    /// # Errors
    ///
    /// Returns an error at the first change that does not directly follow the
    /// current revision. The changes before it remain applied.
    pub fn apply_changes(&mut self, changes: Vec<ChangeRecord>) -> Result<bool, SnapshotError> {
        let before = self.revision();
        for record in changes {
            if record.revision <= self.revision() && self.snapshot.is_some() {
                continue;
            }
            let current = self.snapshot.clone().unwrap_or_default();
            self.snapshot = Some(Rc::new(current.advance(&record)?));
            self.recent.push_back(record);
            if self.recent.len() > RECENT_CHANGES {
                self.recent.pop_front();
            }
        }
        Ok(self.revision() > before)
    }

    /// Applies an update received from another process. Returns whether the
    /// revision increased.
    ///
    /// # Errors
    ///
    /// Returns an error for a malformed update and for changes that do not
    /// directly follow the current revision.
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

    /// The update that brings a process from `revision` to the current one: the
    /// missing changes if all of them are kept, else a snapshot.
    pub fn update_since(&self, revision: Revision) -> ConfigUpdate {
        let Some(snapshot) = self.snapshot.as_ref().filter(|current| current.revision > revision)
        else {
            return ConfigUpdate::None;
        };
        let missing = self.changes_since(revision);
        if missing.is_empty() {
            return ConfigUpdate::Snapshot(snapshot.encode().into());
        }
        ConfigUpdate::of_changes(&missing)
    }

    /// All changes after `revision`, in order; empty if there are none or not all of
    /// them are kept.
    pub fn changes_since(&self, revision: Revision) -> Vec<ChangeRecord> {
        let missing = self.recent.iter().filter(|record| record.revision > revision);
        let missing: Vec<ChangeRecord> = missing.cloned().collect();
        let complete = missing.first().is_some_and(|record| record.revision == revision.next());
        if complete { missing } else { Vec::new() }
    }

    /// The change that produced a revision, if it is kept.
    pub fn change(&self, revision: Revision) -> Option<&ChangeRecord> {
        self.recent.iter().find(|record| record.revision == revision)
    }
}
