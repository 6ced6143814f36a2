//! Configuration updates sent between processes.

use std::fmt;

use bytes::Bytes;
use clementine_objects::ChangeRecord;
use serde::{Deserialize, Serialize};

/// A configuration update sent from one process to another. Payloads are JSON.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The receiver is up to date.
    None,
    /// JSON list of [`ChangeRecord`]s.
    Changes(Bytes),
    /// JSON snapshot.
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
    /// Encodes changes as an update.
    ///
    /// # Panics
    ///
    /// Never: change records can always be encoded as JSON.
    pub fn of_changes(changes: &[ChangeRecord]) -> Self {
        Self::Changes(
            serde_json::to_vec(changes).expect("change records can be encoded as JSON").into(),
        )
    }
}
