//! Client for the DynamoDB HTTP API, version 2012-08-10, with JSON bodies.

use std::rc::Rc;

use awc::Client;
use awc::error::SendRequestError;
use awc::http::StatusCode;
use clementine_decide::operation::StoreCallError;
use compact_str::CompactString;
use serde_json::{Value, json};

use super::{ConditionalPut, PutCondition, PutReply, Row, RowKey, TableService, TransactReply};
use crate::http::{CallLimiter, was_never_sent};

/// API version prefix of the `X-Amz-Target` header.
const TARGET_PREFIX: &str = "DynamoDB_20120810";

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// A table of a DynamoDB-compatible service.
#[derive(Clone)]
pub struct DynamoTable {
    client: Client,
    endpoint: CompactString,
    table: CompactString,
    limiter: Rc<CallLimiter>,
}

impl std::fmt::Debug for DynamoTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DynamoTable")
            .field("endpoint", &self.endpoint)
            .field("table", &self.table)
            .finish_non_exhaustive()
    }
}

/// Response of the service: a result, or an exception.
enum Reply {
    Success(Value),
    Exception { name: String, body: Value },
}

impl DynamoTable {
    /// Creates a client for a table at an endpoint such as `http://10.0.0.1:8000`.
    pub fn new(client: Client, endpoint: &str, table: &str, limiter: Rc<CallLimiter>) -> Self {
        Self { client, endpoint: endpoint.into(), table: table.into(), limiter }
    }

    /// Returns the call limiter.
    pub fn limiter(&self) -> &CallLimiter {
        &self.limiter
    }

    async fn call(&self, operation: &str, body: Value) -> Result<Reply, StoreCallError> {
        self.limiter.call(self.send(operation, body)).await
    }

    async fn send(&self, operation: &str, body: Value) -> Result<Reply, StoreCallError> {
        let request = self
            .client
            .post(self.endpoint.as_str())
            .insert_header(("content-type", "application/x-amz-json-1.0"))
            .insert_header(("x-amz-target", format!("{TARGET_PREFIX}.{operation}")))
            .timeout(self.limiter.call_timeout());
        let mut response =
            request.send_body(body.to_string()).await.map_err(|e| classify_send_error(&e))?;
        let status = response.status();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|_| StoreCallError::Indeterminate)?;
        let body: Value =
            serde_json::from_slice(&body).map_err(|_| StoreCallError::Indeterminate)?;
        if status == StatusCode::OK {
            return Ok(Reply::Success(body));
        }
        error_reply(status, body)
    }

    fn put_body(&self, put: &ConditionalPut) -> Value {
        let mut body = json!({
            "TableName": self.table,
            "Item": item(&put.row),
            "ReturnValuesOnConditionCheckFailure": "ALL_OLD",
        });
        match &put.condition {
            PutCondition::Absent => body["ConditionExpression"] = "attribute_not_exists(pk)".into(),
            PutCondition::GuardIs(guard) => {
                body["ConditionExpression"] = "guard = :guard".into();
                body["ExpressionAttributeValues"] = json!({ ":guard": { "S": guard } });
            }
        }
        body
    }
}

impl TableService for DynamoTable {
    async fn get(&self, key: &RowKey) -> Result<Option<Row>, StoreCallError> {
        let body = json!({
            "TableName": self.table,
            "Key": { "pk": { "S": key.partition }, "sk": { "S": key.sort } },
            "ConsistentRead": true,
        });
        match self.call("GetItem", body).await? {
            Reply::Success(body) => Ok(row(&body["Item"])),
            Reply::Exception { .. } => Err(StoreCallError::NotApplied),
        }
    }

    async fn put(&self, put: &ConditionalPut) -> Result<PutReply, StoreCallError> {
        match self.call("PutItem", self.put_body(put)).await? {
            Reply::Success(_) => Ok(PutReply::Written),
            Reply::Exception { name, body } if name == "ConditionalCheckFailedException" => {
                Ok(PutReply::Conflict(row(&body["Item"])))
            }
            Reply::Exception { .. } => Err(StoreCallError::NotApplied),
        }
    }

    async fn transact(&self, puts: &[ConditionalPut]) -> Result<TransactReply, StoreCallError> {
        let items: Vec<_> = puts.iter().map(|put| json!({ "Put": self.put_body(put) })).collect();
        let body = json!({ "TransactItems": items });
        match self.call("TransactWriteItems", body).await? {
            Reply::Success(_) => Ok(TransactReply::Written),
            Reply::Exception { name, body } if name == "TransactionCanceledException" => {
                let reasons = body["CancellationReasons"].as_array().cloned().unwrap_or_default();
                let failed = reasons.iter().any(|r| r["Code"] == "ConditionalCheckFailed");
                if failed { Ok(TransactReply::Conflict) } else { Err(StoreCallError::NotApplied) }
            }
            Reply::Exception { .. } => Err(StoreCallError::NotApplied),
        }
    }

    async fn query(
        &self,
        partition: &str,
        from: CompactString,
        to: CompactString,
    ) -> Result<Vec<Row>, StoreCallError> {
        let mut rows = Vec::new();
        let mut start = Value::Null;
        loop {
            let mut body = json!({
                "TableName": self.table,
                "ConsistentRead": true,
                "KeyConditionExpression": "pk = :pk AND sk BETWEEN :from AND :to",
                "ExpressionAttributeValues": {
                    ":pk": { "S": partition }, ":from": { "S": from }, ":to": { "S": to },
                },
            });
            if !start.is_null() {
                body["ExclusiveStartKey"] = start;
            }
            let Reply::Success(page) = self.call("Query", body).await? else {
                return Err(StoreCallError::NotApplied);
            };
            rows.extend(page["Items"].as_array().into_iter().flatten().filter_map(row));
            start = page["LastEvaluatedKey"].clone();
            if start.is_null() {
                return Ok(rows);
            }
        }
    }
}

fn classify_send_error(error: &SendRequestError) -> StoreCallError {
    if was_never_sent(error) { StoreCallError::NotApplied } else { StoreCallError::Indeterminate }
}

/// Interprets an error response. A request rejected with a 4xx status had no
/// effect; after any other status it may have taken effect.
fn error_reply(status: StatusCode, body: Value) -> Result<Reply, StoreCallError> {
    if !status.is_client_error() {
        return Err(StoreCallError::Indeterminate);
    }
    let kind = body["__type"].as_str().unwrap_or_default();
    let name = kind.rsplit('#').next().unwrap_or_default().to_owned();
    let throttled = name == "ThrottlingException"
        || name == "ProvisionedThroughputExceededException"
        || name == "RequestLimitExceeded";
    if throttled { Err(StoreCallError::NotApplied) } else { Ok(Reply::Exception { name, body }) }
}

fn item(row: &Row) -> Value {
    let mut item = json!({
        "pk": { "S": row.key.partition },
        "sk": { "S": row.key.sort },
        "guard": { "S": row.guard },
        "doc": { "S": row.document },
    });
    if let Some(expires) = row.expires_unix_s {
        item["expires"] = json!({ "N": expires.to_string() });
    }
    item
}

fn row(item: &Value) -> Option<Row> {
    let text = |name: &str| item[name]["S"].as_str();
    Some(Row {
        key: RowKey { partition: text("pk")?.into(), sort: text("sk")?.into() },
        guard: text("guard")?.into(),
        document: text("doc")?.to_owned(),
        expires_unix_s: item["expires"]["N"].as_str().and_then(|n| n.parse().ok()),
    })
}
