//! What the system needs of a table service.

use clementine_decide::operation::StoreCallError;
use compact_str::CompactString;

use super::{ConditionalPut, Row, RowKey};

/// Answer to a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutReply {
    /// The row was stored.
    Written,
    /// The condition failed; this row is stored, if any is.
    Conflict(Option<Row>),
}

/// Answer to a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactReply {
    /// All rows were stored.
    Written,
    /// A condition failed and no row was stored.
    Conflict,
}

/// A transactional table service. Each call tries once.
#[expect(async_fn_in_trait, reason = "processes are single-threaded")]
pub trait TableService {
    /// Reads a row with all writes that were answered before.
    async fn get(&self, key: &RowKey) -> Result<Option<Row>, StoreCallError>;

    /// Stores a row under a condition.
    async fn put(&self, put: &ConditionalPut) -> Result<PutReply, StoreCallError>;

    /// Stores several rows under their conditions, all or none.
    async fn transact(&self, puts: &[ConditionalPut]) -> Result<TransactReply, StoreCallError>;

    /// Reads the rows of a partition whose sort keys lie in a range, both
    /// ends included, in order.
    async fn query(
        &self,
        partition: &str,
        from: CompactString,
        to: CompactString,
    ) -> Result<Vec<Row>, StoreCallError>;
}
