//! Rows of the store in messages between entries.

use clementine_decide::peers::{ChangedRow, TableChanges};
use clementine_platform::store::{Row, RowKey};

/// Rows as they are passed on to neighbors.
pub(super) fn encode_rows(rows: &[Row]) -> Vec<ChangedRow> {
    let encode = |row: &Row| ChangedRow {
        key: row.key.key.clone(),
        value: (!row.removed).then(|| row.value.clone()),
        number: row.version,
    };
    rows.iter().map(encode).collect()
}

/// Rows of the table `name` that a neighbor has passed on.
pub(super) fn decode_rows(name: &str, changes: &TableChanges) -> Vec<Row> {
    let decode = |row: &ChangedRow| Row {
        key: RowKey { table: name.into(), partition: "".into(), key: row.key.clone() },
        value: row.value.clone().unwrap_or_default(),
        version: row.number,
        removed: row.value.is_none(),
    };
    changes.rows.iter().map(decode).collect()
}
