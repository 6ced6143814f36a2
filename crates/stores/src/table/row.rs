//! Rows and conditional writes.

use compact_str::CompactString;

/// Key of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RowKey {
    /// Partition key.
    pub partition: CompactString,
    /// Sort key within the partition.
    pub sort: CompactString,
}

/// A row: a document and a guard value that conditional writes compare.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key of the row.
    pub key: RowKey,
    /// Value that [`PutCondition::GuardIs`] compares.
    pub guard: CompactString,
    /// JSON document.
    pub document: String,
    /// Time after which the service may delete the row, in seconds since the
    /// Unix epoch.
    pub expires_unix_s: Option<u64>,
}

/// Condition of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutCondition {
    /// No row with this key exists.
    Absent,
    /// The existing row has this guard value.
    GuardIs(CompactString),
}

/// A write that takes effect only if its condition holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConditionalPut {
    /// The row to write.
    pub row: Row,
    /// Condition on the existing row.
    pub condition: PutCondition,
}
