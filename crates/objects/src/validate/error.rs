//! One fault of a catalog.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{Object, ObjectRef};

/// One fault of a catalog: the object, the field and what is wrong.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidationError {
    /// The faulty object.
    pub object: ObjectRef,
    /// Path of the faulty field within the object.
    pub field: CompactString,
    /// What is wrong, in one sentence without a full stop.
    pub message: String,
}

impl ValidationError {
    pub(super) fn new(object: &Object, field: &str, message: impl Into<String>) -> Self {
        Self { object: object.reference(), field: field.into(), message: message.into() }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.object, self.field, self.message)
    }
}
