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

/// A row: a document and a guard by which writes are made conditional.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key of the row.
    pub key: RowKey,
    /// Text that conditional writes compare.
    pub guard: CompactString,
    /// JSON document.
    pub document: String,
    /// Time after which the service may delete the row, in s since 1970.
    pub expires_unix_s: Option<u64>,
}

/// Condition of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutCondition {
    /// No row of that key exists.
    Absent,
    /// The existing row has this guard.
    GuardIs(CompactString),
}

/// A write that takes effect only under a condition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConditionalPut {
    /// The row to store.
    pub row: Row,
    /// The condition.
    pub condition: PutCondition,
}
