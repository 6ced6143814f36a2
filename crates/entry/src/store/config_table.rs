//! Storage of the configuration history in the table service.

use clementine_decide::operation::StoreCallError;
use clementine_decide::publish::{AppendReply, ConfigHead, ConfigStore};
use clementine_objects::{ChangeRecord, Revision};
use clementine_stores::{
    ConditionalPut, DynamoTable, PutCondition, Row, RowKey, TableService, TransactReply,
};
use compact_str::{CompactString, format_compact};

/// Partition key of the head row and of all changes.
const PARTITION: &str = "config";

/// Sort key of the head row.
const HEAD_SORT_KEY: &str = "head";

/// The configuration history in the table service.
#[derive(Debug, Clone)]
pub(crate) struct ConfigTable {
    table: DynamoTable,
}

impl ConfigTable {
    /// Uses the history in a table.
    pub(crate) const fn new(table: DynamoTable) -> Self {
        Self { table }
    }
}

impl ConfigStore for ConfigTable {
    async fn head(&self) -> Result<Option<ConfigHead>, StoreCallError> {
        let row = self.table.get(&head_key()).await?;
        row.map(|row| parse(&row.document)).transpose()
    }

    async fn append(&self, record: &ChangeRecord) -> Result<AppendReply, StoreCallError> {
        let head =
            ConfigHead { revision: record.revision, digest: record.digest, change: record.id };
        let first = record.revision == Revision::default().next();
        let before = Revision(record.revision.0.saturating_sub(1));
        let head_condition = if first {
            PutCondition::Absent
        } else {
            PutCondition::GuardIs(format_compact!("{before}"))
        };
        let puts = [
            put(head_key(), record.revision, &head, head_condition)?,
            put(change_key(record.revision), record.revision, record, PutCondition::Absent)?,
        ];
        match self.table.transact(&puts).await? {
            TransactReply::Written => Ok(AppendReply::Written),
            TransactReply::Conflict => Ok(AppendReply::Conflict),
        }
    }

    async fn changes(
        &self,
        after: Revision,
        up_to: Revision,
    ) -> Result<Vec<ChangeRecord>, StoreCallError> {
        let (from, to) = (change_sort(after.next()), change_sort(up_to));
        let rows = self.table.query(PARTITION, from, to).await?;
        rows.iter().map(|row| parse(&row.document)).collect()
    }
}

fn put(
    key: RowKey,
    revision: Revision,
    document: &impl serde::Serialize,
    condition: PutCondition,
) -> Result<ConditionalPut, StoreCallError> {
    let document = serde_json::to_string(document).map_err(|_| StoreCallError::NotApplied)?;
    let guard = format_compact!("{revision}");
    Ok(ConditionalPut { row: Row { key, guard, document, expires_unix_s: None }, condition })
}

fn head_key() -> RowKey {
    RowKey { partition: PARTITION.into(), sort: HEAD_SORT_KEY.into() }
}

fn change_key(revision: Revision) -> RowKey {
    RowKey { partition: PARTITION.into(), sort: change_sort(revision) }
}

/// Returns the sort key of a change, zero-padded so that lexicographic order is
/// revision order.
fn change_sort(revision: Revision) -> CompactString {
    format_compact!("change/{:020}", revision.0)
}

fn parse<T: serde::de::DeserializeOwned>(document: &str) -> Result<T, StoreCallError> {
    serde_json::from_str(document).map_err(|_| StoreCallError::NotApplied)
}
