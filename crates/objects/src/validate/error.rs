//! Validation errors.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{Object, ObjectRef};

/// A validation error: the object, the field and a description.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidationError {
    /// The invalid object.
    pub object: ObjectRef,
    /// Path of the invalid field within the object.
    pub field: CompactString,
    /// Description in one sentence, without a trailing period.
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
