//! A table service that speaks the DynamoDB HTTP API, version 2012-08-10, in
//! its JSON format.

use std::rc::Rc;

use awc::Client;
use awc::error::SendRequestError;
use awc::http::StatusCode;
use clementine_decide::operation::StoreCallError;
use compact_str::CompactString;
use serde_json::{Value, json};

use super::{ConditionalPut, PutCondition, PutReply, Row, RowKey, TableService, TransactReply};
use crate::http::{Guard, was_never_sent};

/// Prefix of the `X-Amz-Target` header.
const TARGET_PREFIX: &str = "DynamoDB_20120810";

/// Largest response body, in bytes.
const RESPONSE_MAX_BYTES: usize = 8 * 1024 * 1024;

/// A table of a DynamoDB-compatible service.
#[derive(Clone)]
pub struct DynamoTable {
    client: Client,
    endpoint: CompactString,
    table: CompactString,
    guard: Rc<Guard>,
}

impl std::fmt::Debug for DynamoTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DynamoTable")
            .field("endpoint", &self.endpoint)
            .field("table", &self.table)
            .finish_non_exhaustive()
    }
}

/// Answer of the service: a result, or a refusal with its exception name.
enum Reply {
    Done(Value),
    Refused { exception: String, body: Value },
}

impl DynamoTable {
    /// A table at an endpoint such as `http://10.0.0.1:8000`.
    pub fn new(client: Client, endpoint: &str, table: &str, guard: Rc<Guard>) -> Self {
        Self { client, endpoint: endpoint.into(), table: table.into(), guard }
    }

    /// The guard of the calls.
    pub fn guard(&self) -> &Guard {
        &self.guard
    }

    async fn call(&self, operation: &str, body: Value) -> Result<Reply, StoreCallError> {
        self.guard.call(self.call_unguarded(operation, body)).await
    }

    async fn call_unguarded(&self, operation: &str, body: Value) -> Result<Reply, StoreCallError> {
        let request = self
            .client
            .post(self.endpoint.as_str())
            .insert_header(("content-type", "application/x-amz-json-1.0"))
            .insert_header(("x-amz-target", format!("{TARGET_PREFIX}.{operation}")))
            .timeout(self.guard.call_time());
        let mut response = request.send_body(body.to_string()).await.map_err(|e| send_fault(&e))?;
        let status = response.status();
        let body = response.body().limit(RESPONSE_MAX_BYTES).await;
        let body = body.map_err(|_| StoreCallError::Indeterminate)?;
        let body: Value =
            serde_json::from_slice(&body).map_err(|_| StoreCallError::Indeterminate)?;
        if status == StatusCode::OK {
            return Ok(Reply::Done(body));
        }
        refusal(status, body)
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
            Reply::Done(body) => Ok(row(&body["Item"])),
            Reply::Refused { .. } => Err(StoreCallError::NotApplied),
        }
    }

    async fn put(&self, put: &ConditionalPut) -> Result<PutReply, StoreCallError> {
        match self.call("PutItem", self.put_body(put)).await? {
            Reply::Done(_) => Ok(PutReply::Written),
            Reply::Refused { exception, body }
                if exception == "ConditionalCheckFailedException" =>
            {
                Ok(PutReply::Conflict(row(&body["Item"])))
            }
            Reply::Refused { .. } => Err(StoreCallError::NotApplied),
        }
    }

    async fn transact(&self, puts: &[ConditionalPut]) -> Result<TransactReply, StoreCallError> {
        let items: Vec<_> = puts.iter().map(|put| json!({ "Put": self.put_body(put) })).collect();
        let body = json!({ "TransactItems": items });
        match self.call("TransactWriteItems", body).await? {
            Reply::Done(_) => Ok(TransactReply::Written),
            Reply::Refused { exception, body } if exception == "TransactionCanceledException" => {
                let reasons = body["CancellationReasons"].as_array().cloned().unwrap_or_default();
                let failed = reasons.iter().any(|r| r["Code"] == "ConditionalCheckFailed");
                if failed { Ok(TransactReply::Conflict) } else { Err(StoreCallError::NotApplied) }
            }
            Reply::Refused { .. } => Err(StoreCallError::NotApplied),
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
            let Reply::Done(page) = self.call("Query", body).await? else {
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

fn send_fault(error: &SendRequestError) -> StoreCallError {
    if was_never_sent(error) { StoreCallError::NotApplied } else { StoreCallError::Indeterminate }
}

/// A client error had no effect; after a server error that is not known.
fn refusal(status: StatusCode, body: Value) -> Result<Reply, StoreCallError> {
    if !status.is_client_error() {
        return Err(StoreCallError::Indeterminate);
    }
    let kind = body["__type"].as_str().unwrap_or_default();
    let exception = kind.rsplit('#').next().unwrap_or_default().to_owned();
    let throttled = exception == "ThrottlingException"
        || exception == "ProvisionedThroughputExceededException"
        || exception == "RequestLimitExceeded";
    if throttled { Err(StoreCallError::NotApplied) } else { Ok(Reply::Refused { exception, body }) }
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
