//! Request handlers of the administration API.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use clementine_decide::publish::{ConfigStore, PublishError};
use clementine_objects::Revision;
use clementine_process::admin::AdminHandler;
use clementine_process::http::{json_response, read_body};

use super::messages::{
    AcceptedResponse, AgentRevision, ObjectsResponse, RejectedResponse, RevisionsResponse,
};
use crate::config::PublishRequest;
use crate::entry::Entry;

/// Maximum size of a change, in bytes. A change is stored in one row of the table
/// service, which is limited to 400 KB.
const MAX_CHANGE_BYTES: usize = 256 * 1024;

/// Returns the request handler of the administration API.
pub(crate) fn admin_handler(entry: Rc<Entry>) -> AdminHandler {
    Rc::new(move |req| {
        let entry = Rc::clone(&entry);
        Box::pin(async move { entry.handle_admin_request(req).await })
    })
}

impl Entry {
    async fn handle_admin_request(&self, req: Request) -> Option<Response<BoxBody>> {
        match (req.method(), req.path()) {
            (&Method::GET, "/v1/objects") => Some(self.objects_response()),
            (&Method::GET, "/v1/revisions") => Some(self.revisions_response()),
            (&Method::GET, "/v1/history") => Some(self.history_response().await),
            (&Method::POST, "/v1/changes") => Some(self.handle_change(req).await),
            _ => None,
        }
    }

    fn objects_response(&self) -> Response<BoxBody> {
        let snapshot = self.snapshot();
        let response =
            ObjectsResponse { revision: snapshot.revision, objects: snapshot.catalog.objects() };
        json_response(StatusCode::OK, &response)
    }

    fn revisions_response(&self) -> Response<BoxBody> {
        let members = self.fleet.members();
        let agents = members.iter().map(|member| AgentRevision {
            address: member.address(),
            revision: member.status().map(|status| status.revision),
        });
        let response =
            RevisionsResponse { entry: self.config.borrow().revision(), agents: agents.collect() };
        json_response(StatusCode::OK, &response)
    }

    async fn history_response(&self) -> Response<BoxBody> {
        let newest = self.config.borrow().revision();
        match self.config_table.changes(Revision::default(), newest).await {
            Ok(changes) => json_response(StatusCode::OK, &changes),
            Err(_) => rejected(&PublishError::Unavailable),
        }
    }

    async fn handle_change(&self, mut req: Request) -> Response<BoxBody> {
        let malformed = |message: String| {
            let response = RejectedResponse {
                code: "malformed",
                message,
                faults: Vec::new(),
                conflict: None,
                change: None,
            };
            json_response(StatusCode::BAD_REQUEST, &response)
        };
        let body = match read_body(&mut req, MAX_CHANGE_BYTES).await {
            Ok(body) => body,
            Err(error) => return malformed(error.to_string()),
        };
        let request: PublishRequest = match serde_json::from_slice(&body) {
            Ok(request) => request,
            Err(error) => return malformed(error.to_string()),
        };
        match self.publish(request).await {
            Ok(published) => {
                let revision = published.snapshot.revision;
                json_response(StatusCode::OK, &AcceptedResponse { revision })
            }
            Err(error) => rejected(&error),
        }
    }
}

fn rejected(error: &PublishError) -> Response<BoxBody> {
    let (status, code) = match error {
        PublishError::InvalidCatalog { .. } => (StatusCode::UNPROCESSABLE_ENTITY, "faulty"),
        PublishError::Conflict { .. } => (StatusCode::CONFLICT, "conflict"),
        PublishError::NoChange => (StatusCode::OK, "empty"),
        PublishError::Unavailable => (StatusCode::SERVICE_UNAVAILABLE, "unavailable"),
        PublishError::Indeterminate { .. } => (StatusCode::GATEWAY_TIMEOUT, "unclear"),
        PublishError::History { .. } => (StatusCode::INTERNAL_SERVER_ERROR, "history"),
    };
    let mut response = RejectedResponse {
        code,
        message: error.to_string(),
        faults: Vec::new(),
        conflict: None,
        change: None,
    };
    match error {
        PublishError::InvalidCatalog { errors } => response.faults.clone_from(errors),
        PublishError::Conflict { conflict } => response.conflict = Some(conflict.clone()),
        PublishError::Indeterminate { id } => response.change = Some(*id),
        _ => {}
    }
    json_response(status, &response)
}
