//! Clients for the platform services: table service, object store and instance
//! list. Each service is a trait with one implementation.

pub mod http;
pub mod instances;
pub mod objects;
pub mod table;

pub use http::{CallLimiter, CallLimits};
pub use instances::{EndpointSlices, InstanceList, InstanceState, ListedInstance};
pub use objects::{ObjectStore, S3Objects};
pub use table::{
    ConditionalPut, DynamoTable, PutCondition, PutReply, Row, RowKey, TableService, TransactReply,
};
