//! A finding: the object, the field and a description.

use std::fmt;

use compact_str::CompactString;

use crate::{Object, ObjectRef};

/// Something in a valid catalog that has no effect or contradicts something else.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The object.
    pub object: ObjectRef,
    /// Path of the field within the object; `name` for the object as a whole.
    pub field: CompactString,
    /// Description in one sentence, without a trailing period.
    pub message: String,
}

impl Finding {
    pub(super) fn new(object: &Object, field: &str, message: impl Into<String>) -> Self {
        Self { object: object.reference(), field: field.into(), message: message.into() }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.object, self.field, self.message)
    }
}
