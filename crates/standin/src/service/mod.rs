//! Fake HTTP service that records the operations that it executes.

use std::cell::{Cell, RefCell};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::PathBuf;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage as _, Method, Request, Response, StatusCode};
use clementine_objects::Millis;
use clementine_process::http::json_response;
use serde::Serialize;
use serde_json::json;
use snafu::ResultExt;

use crate::error::{RecordSnafu, StandinError};
use crate::web::{error_response, raw_body};

/// Settings of the service.
#[derive(Debug)]
pub(crate) struct ServiceSettings {
    /// File to append executed operations to.
    pub(crate) record: Option<PathBuf>,
    /// Time to respond to a request.
    pub(crate) response_time: Millis,
}

/// An executed operation, as a line of the record file.
#[derive(Debug, Serialize)]
struct OperationRecord<'a> {
    key: &'a str,
    path: &'a str,
    body: &'a str,
}

/// A service whose operations must be executed at most once. It does not
/// deduplicate them, so that the record file shows repeated executions.
#[derive(Debug)]
pub(crate) struct OperationService {
    settings: ServiceSettings,
    record: Option<RefCell<File>>,
    operations: Cell<u64>,
}

impl OperationService {
    /// Opens the record file and creates the service.
    pub(crate) fn open(settings: ServiceSettings) -> Result<Self, StandinError> {
        let record = match &settings.record {
            Some(path) => {
                let file = OpenOptions::new().create(true).append(true).open(path);
                Some(RefCell::new(file.context(RecordSnafu)?))
            }
            None => None,
        };
        Ok(Self { settings, record, operations: Cell::new(0) })
    }

    /// Handles a request.
    pub(crate) async fn handle(&self, mut req: Request) -> Response<BoxBody> {
        let path = req.uri().to_string();
        if req.method() == Method::GET {
            self.pause().await;
            return json_response(StatusCode::OK, &json!({ "path": path, "stock": 12 }));
        }
        let key = req.headers().get("idempotency-key").and_then(|v| v.to_str().ok());
        let key = key.unwrap_or_default().to_owned();
        let body = String::from_utf8_lossy(&raw_body(&mut req).await).into_owned();
        abort_if_triggered(&body, "crash-before");
        let recorded =
            self.record_operation(&OperationRecord { key: &key, path: &path, body: &body });
        if recorded.is_err() {
            return error_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the record can't be written",
            );
        }
        abort_if_triggered(&body, "crash-after");
        self.pause().await;
        json_response(StatusCode::OK, &json!({ "operation": self.operations.get(), "key": key }))
    }

    fn record_operation(&self, operation: &OperationRecord<'_>) -> std::io::Result<()> {
        self.operations.set(self.operations.get() + 1);
        let Some(record) = &self.record else { return Ok(()) };
        let line = serde_json::to_string(operation)?;
        record.borrow_mut().write_all(format!("{line}\n").as_bytes())
    }

    async fn pause(&self) {
        if self.settings.response_time.0 > 0 {
            tokio::time::sleep(self.settings.response_time.duration()).await;
        }
    }
}

fn abort_if_triggered(body: &str, trigger: &str) {
    if body.contains(trigger) {
        std::process::abort();
    }
}
