//! Routing of requests to the platform services.

use std::cell::{Cell, RefCell};

use actix_http::body::BoxBody;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{HttpMessage as _, Method, Request, Response, StatusCode};
use clementine_process::http::json_response;
use serde_json::{Value, json};

use super::faults::{CopyRequest, FaultRequest, SLOW_DELAY, ServiceMode};
use super::objects::ObjectStore;
use super::table::Table;
use crate::web::{error_response, json_body, raw_body};

/// The platform services in one process, with a fault mode for each.
#[derive(Debug, Default)]
pub(crate) struct Platform {
    table: RefCell<Table>,
    table_copy: RefCell<Table>,
    /// Number of times that the table was restored from its copy.
    era: Cell<u64>,
    objects: RefCell<ObjectStore>,
    instances: RefCell<Value>,
    table_mode: Cell<ServiceMode>,
    objects_mode: Cell<ServiceMode>,
    instances_mode: Cell<ServiceMode>,
    counts: RefCell<std::collections::BTreeMap<String, u64>>,
}

impl Platform {
    /// Handles a request. Each response names the era of the table.
    pub(crate) async fn handle(&self, req: Request) -> Response<BoxBody> {
        let mut response = self.respond(req).await;
        let era = HeaderValue::from(self.era.get());
        response.headers_mut().insert(HeaderName::from_static("store-era"), era);
        response
    }

    async fn respond(&self, mut req: Request) -> Response<BoxBody> {
        let path = req.path().to_owned();
        match (req.method().clone(), path.as_str()) {
            (Method::POST, "/") => self.table_call(req).await,
            (Method::POST, "/faults") => self.set_faults(&json_body(&mut req).await),
            (Method::GET, "/counts") => json_response(StatusCode::OK, &*self.counts.borrow()),
            (Method::PUT, "/instances") => {
                *self.instances.borrow_mut() = json_body(&mut req).await;
                json_response(StatusCode::OK, &json!({}))
            }
            (Method::GET, "/instances") => self.list_instances().await,
            (method, path) if path.starts_with("/objects/") => {
                self.count(&format!("objects {method}"));
                let body = raw_body(&mut req).await;
                let respond = || self.objects.borrow_mut().handle(&method, path, body);
                apply_mode(self.objects_mode.get(), respond).await
            }
            _ => error_response(StatusCode::NOT_FOUND, "no such service"),
        }
    }

    async fn table_call(&self, mut req: Request) -> Response<BoxBody> {
        let target = req.headers().get("x-amz-target").and_then(|v| v.to_str().ok());
        let operation = target.and_then(|t| t.rsplit('.').next()).unwrap_or_default().to_owned();
        self.count(&operation);
        let body = json_body(&mut req).await;
        let respond = || {
            let (status, body) = self.table.borrow_mut().handle(&operation, &body);
            json_response(StatusCode::from_u16(status).unwrap_or_default(), &body)
        };
        apply_mode(self.table_mode.get(), respond).await
    }

    async fn list_instances(&self) -> Response<BoxBody> {
        self.count("instances");
        let respond = || json_response(StatusCode::OK, &*self.instances.borrow());
        apply_mode(self.instances_mode.get(), respond).await
    }

    fn set_faults(&self, body: &Value) -> Response<BoxBody> {
        let Ok(request) = serde_json::from_value::<FaultRequest>(body.clone()) else {
            return error_response(StatusCode::BAD_REQUEST, "unknown fault");
        };
        self.table_mode.set(request.table.unwrap_or(self.table_mode.get()));
        self.objects_mode.set(request.objects.unwrap_or(self.objects_mode.get()));
        self.instances_mode.set(request.instances.unwrap_or(self.instances_mode.get()));
        match request.table_copy {
            Some(CopyRequest::Save) => {
                self.table_copy.replace(self.table.borrow().clone());
            }
            Some(CopyRequest::Restore) => {
                self.table.replace(self.table_copy.borrow().clone());
                self.era.set(self.era.get() + 1);
            }
            None => {}
        }
        json_response(StatusCode::OK, &json!({}))
    }

    fn count(&self, call: &str) {
        *self.counts.borrow_mut().entry(call.to_owned()).or_default() += 1;
    }
}

/// Runs `respond` subject to the fault mode of its service.
async fn apply_mode(
    mode: ServiceMode,
    respond: impl FnOnce() -> Response<BoxBody>,
) -> Response<BoxBody> {
    match mode {
        ServiceMode::Up => respond(),
        ServiceMode::Unavailable => error_response(StatusCode::SERVICE_UNAVAILABLE, "unavailable"),
        ServiceMode::Hang => std::future::pending().await,
        ServiceMode::LoseResponses => {
            drop(respond());
            error_response(StatusCode::INTERNAL_SERVER_ERROR, "the answer is lost")
        }
        ServiceMode::Slow => {
            tokio::time::sleep(SLOW_DELAY).await;
            respond()
        }
    }
}
