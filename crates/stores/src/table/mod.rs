//! Table service client.

mod dynamo;
mod row;
mod service;

pub use dynamo::DynamoTable;
pub use row::{ConditionalPut, PutCondition, Row, RowKey};
pub use service::{PutReply, TableService, TransactReply};
