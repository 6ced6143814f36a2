//! Storage of claims in the table service.

use clementine_decide::ids::WorkId;
use clementine_decide::operation::{
    ClaimKey, ClaimRow, ClaimState, ClaimStore, StoreCallError, WriteReply,
};
use clementine_objects::Millis;
use clementine_process::clock::unix_ms;
use clementine_stores::{
    ConditionalPut, DynamoTable, PutCondition, PutReply, Row, RowKey, TableService,
};
use compact_str::{CompactString, format_compact};

/// Sort key of a claim's row, the only one in its partition.
const CLAIM_SORT_KEY: &str = "claim";

/// Claims in the table service; each row expires after a retention time.
#[derive(Debug, Clone)]
pub(crate) struct ClaimTable {
    table: DynamoTable,
    retention: Millis,
}

impl ClaimTable {
    /// Stores claims in a table with a retention time.
    pub(crate) const fn new(table: DynamoTable, retention: Millis) -> Self {
        Self { table, retention }
    }

    async fn write(
        &self,
        key: &ClaimKey,
        row: &ClaimRow,
        condition: PutCondition,
    ) -> Result<WriteReply, StoreCallError> {
        let document = serde_json::to_string(row).map_err(|_| StoreCallError::NotApplied)?;
        let row = Row {
            key: row_key(key),
            guard: guard(row),
            document,
            expires_unix_s: Some((unix_ms() + self.retention.0) / 1_000),
        };
        match self.table.put(&ConditionalPut { row, condition }).await? {
            PutReply::Written => Ok(WriteReply::Written),
            PutReply::Conflict(None) => Ok(WriteReply::Conflict(None)),
            PutReply::Conflict(Some(row)) => Ok(WriteReply::Conflict(Some(parse(&row)?))),
        }
    }
}

impl ClaimStore for ClaimTable {
    async fn insert(&self, key: &ClaimKey, row: &ClaimRow) -> Result<WriteReply, StoreCallError> {
        self.write(key, row, PutCondition::Absent).await
    }

    async fn replace(
        &self,
        key: &ClaimKey,
        expected: WorkId,
        row: &ClaimRow,
    ) -> Result<WriteReply, StoreCallError> {
        self.write(key, row, PutCondition::GuardIs(held_guard(expected))).await
    }

    async fn read(&self, key: &ClaimKey) -> Result<Option<ClaimRow>, StoreCallError> {
        let row = self.table.get(&row_key(key)).await?;
        row.as_ref().map(parse).transpose()
    }
}

fn row_key(key: &ClaimKey) -> RowKey {
    RowKey { partition: format_compact!("claim/{key}"), sort: CLAIM_SORT_KEY.into() }
}

/// Returns the guard of a row. It contains the token only while the claim is held,
/// so that [`ClaimStore::replace`] cannot overwrite a recorded result.
fn guard(row: &ClaimRow) -> CompactString {
    match row.state {
        ClaimState::Held => held_guard(row.token),
        ClaimState::Ran(_) => "ran".into(),
        ClaimState::Unknown => "unknown".into(),
    }
}

fn held_guard(token: WorkId) -> CompactString {
    format_compact!("held/{token}")
}

fn parse(row: &Row) -> Result<ClaimRow, StoreCallError> {
    serde_json::from_str(&row.document).map_err(|_| StoreCallError::NotApplied)
}
