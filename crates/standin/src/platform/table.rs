//! In-memory table service with the subset of the DynamoDB JSON protocol that
//! clementinehub uses.

use std::collections::BTreeMap;

use serde_json::{Value, json};

/// Rows by partition key and sort key.
#[derive(Debug, Clone, Default)]
pub(crate) struct Table {
    rows: BTreeMap<(String, String), Value>,
}

/// Status code and body of a response.
pub(crate) type TableResponse = (u16, Value);

const EXCEPTION_PREFIX: &str = "com.amazonaws.dynamodb.v20120810";

impl Table {
    /// Handles an operation.
    pub(crate) fn handle(&mut self, operation: &str, body: &Value) -> TableResponse {
        match operation {
            "GetItem" => self.get(body),
            "PutItem" => self.put(body),
            "Query" => self.query(body),
            "TransactWriteItems" => self.transact(body),
            _ => exception("UnknownOperationException", &json!({})),
        }
    }

    fn get(&self, body: &Value) -> TableResponse {
        match self.rows.get(&key(&body["Key"])) {
            Some(item) => (200, json!({ "Item": item })),
            None => (200, json!({})),
        }
    }

    fn put(&mut self, body: &Value) -> TableResponse {
        let stored = self.rows.get(&key(&body["Item"]));
        if !condition_holds(body, stored) {
            let item = stored.cloned().unwrap_or(Value::Null);
            return exception("ConditionalCheckFailedException", &json!({ "Item": item }));
        }
        self.store(body);
        (200, json!({}))
    }

    fn transact(&mut self, body: &Value) -> TableResponse {
        let puts: Vec<_> =
            body["TransactItems"].as_array().into_iter().flatten().map(|i| &i["Put"]).collect();
        let holds = |put: &&Value| condition_holds(put, self.rows.get(&key(&put["Item"])));
        let codes: Vec<_> = puts
            .iter()
            .map(|put| if holds(put) { "None" } else { "ConditionalCheckFailed" })
            .collect();
        if codes.contains(&"ConditionalCheckFailed") {
            let reasons: Vec<_> = codes.iter().map(|code| json!({ "Code": code })).collect();
            let body = json!({ "CancellationReasons": reasons });
            return exception("TransactionCanceledException", &body);
        }
        for put in puts {
            self.store(put);
        }
        (200, json!({}))
    }

    fn query(&self, body: &Value) -> TableResponse {
        let value = |name: &str| {
            body["ExpressionAttributeValues"][name]["S"].as_str().unwrap_or_default().to_owned()
        };
        let from = (value(":pk"), value(":from"));
        let to = (value(":pk"), value(":to"));
        let items: Vec<_> = self.rows.range(from..=to).map(|(_, item)| item.clone()).collect();
        (200, json!({ "Items": items }))
    }

    fn store(&mut self, put: &Value) {
        self.rows.insert(key(&put["Item"]), put["Item"].clone());
    }
}

fn key(item: &Value) -> (String, String) {
    let part = |name: &str| item[name]["S"].as_str().unwrap_or_default().to_owned();
    (part("pk"), part("sk"))
}

fn condition_holds(put: &Value, stored: Option<&Value>) -> bool {
    match put["ConditionExpression"].as_str() {
        Some("attribute_not_exists(pk)") => stored.is_none(),
        Some("guard = :guard") => {
            stored.is_some_and(|s| s["guard"] == put["ExpressionAttributeValues"][":guard"])
        }
        _ => true,
    }
}

fn exception(name: &str, fields: &Value) -> TableResponse {
    let mut body = fields.clone();
    body["__type"] = format!("{EXCEPTION_PREFIX}#{name}").into();
    (400, body)
}
