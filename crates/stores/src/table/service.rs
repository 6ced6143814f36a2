//! Table service interface.

use clementine_decide::operation::StoreCallError;
use compact_str::CompactString;

use super::{ConditionalPut, Row, RowKey};

/// Result of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutReply {
    /// The row was written.
    Written,
    /// The condition failed. Contains the existing row, if there is one.
    Conflict(Option<Row>),
}

/// Result of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactReply {
    /// All rows were written.
    Written,
    /// A condition failed and no row was written.
    Conflict,
}

/// A transactional table service. Calls are not retried.
#[expect(async_fn_in_trait, reason = "processes are single-threaded")]
pub trait TableService {
    /// Reads a row. The read is strongly consistent: it reflects every write
    /// acknowledged before it.
    async fn get(&self, key: &RowKey) -> Result<Option<Row>, StoreCallError>;

    /// Writes a row if its condition holds.
    async fn put(&self, put: &ConditionalPut) -> Result<PutReply, StoreCallError>;

    /// Writes several rows atomically if all their conditions hold.
    async fn transact(&self, puts: &[ConditionalPut]) -> Result<TransactReply, StoreCallError>;

    /// Reads the rows of a partition with sort keys from `from` to `to`,
    /// inclusive, in sort-key order.
    async fn query(
        &self,
        partition: &str,
        from: CompactString,
        to: CompactString,
    ) -> Result<Vec<Row>, StoreCallError>;
}
