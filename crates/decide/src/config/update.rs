//! Updates of the configuration between processes.

use std::fmt;

use bytes::Bytes;
use clementine_objects::ChangeRecord;
use serde::{Deserialize, Serialize};

/// What one process tells another of the configuration, JSON within.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// Nothing newer is known.
    None,
    /// Encoded list of [`ChangeRecord`]s.
    Changes(Bytes),
    /// Encoded snapshot.
    Snapshot(Bytes),
}

impl fmt::Debug for ConfigUpdate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => f.write_str("None"),
            Self::Changes(bytes) => write!(f, "Changes({} bytes)", bytes.len()),
            Self::Snapshot(bytes) => write!(f, "Snapshot({} bytes)", bytes.len()),
        }
    }
}

impl ConfigUpdate {
    /// Encodes changes.
    ///
    /// # Panics
    ///
    /// Never: change records always have a JSON form.
    pub fn of_changes(changes: &[ChangeRecord]) -> Self {
        Self::Changes(serde_json::to_vec(changes).expect("change records have a JSON form").into())
    }
}
