//! Dispatches callers' requests to their handlers.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response};
use clementine_decide::ids::RequestId;
use clementine_decide::outcome::{ErrorKind, Outcome};
use clementine_objects::{Repeat, Route};
use clementine_process::http::discard_body;
use spdlog::debug;

use super::models::models_response;
use super::{CallerRequest, RequestError};
use crate::entry::Entry;
use crate::retryable::Endpoint;

impl Entry {
    /// Handles a request of a caller and counts the response.
    pub(crate) async fn handle_request(self: Rc<Self>, mut req: Request) -> Response<BoxBody> {
        let in_progress = self.drain.track();
        let id = RequestId(rand::random());
        let result = match self.authorize_request(id, &mut req).await {
            Ok(caller) => Rc::clone(&self).dispatch_request(&req, caller).await,
            Err(error) => Err(error),
        };
        let response = match result {
            Ok(response) => {
                self.metrics.count_response(Outcome::Ran, "ok");
                response
            }
            Err(error) => {
                debug!("callers: request {} failed: {}", id, error.message);
                self.metrics.count_response(error.kind.response().outcome, error.kind.code());
                discard_body(&mut req).await;
                error.response(id)
            }
        };
        drop(in_progress);
        response
    }

    async fn dispatch_request(
        self: Rc<Self>,
        req: &Request,
        caller: CallerRequest,
    ) -> Result<Response<BoxBody>, RequestError> {
        match (req.method(), req.path()) {
            (&Method::GET, "/v1/models") => Ok(models_response(&caller.workspace)),
            (&Method::POST, "/v1/chat/completions") => self.complete(caller, Endpoint::Chat).await,
            (&Method::POST, "/v1/completions") => self.complete(caller, Endpoint::Text).await,
            (_, path) => self.route_to_service(path, caller).await,
        }
    }

    async fn route_to_service(
        self: Rc<Self>,
        path: &str,
        caller: CallerRequest,
    ) -> Result<Response<BoxBody>, RequestError> {
        let snapshot = self.snapshot();
        let Some(route) = snapshot.catalog.route_for_path(path) else {
            return Err(RequestError::new(
                ErrorKind::NotFound,
                format!("no route matches `{path}`"),
            ));
        };
        if !caller.workspace.routes.contains(&route.name) {
            let message = format!("the workspace is not permitted to use route `{}`", route.name);
            return Err(RequestError::new(ErrorKind::NotPermitted, message));
        }
        let caller = self.limit_deadline(caller, route);
        match route.repeat {
            Repeat::Safe => self.call_service(caller, route).await,
            Repeat::Never => self.run_operation(caller, route).await,
        }
    }

    fn limit_deadline(&self, caller: CallerRequest, route: &Route) -> CallerRequest {
        let latest = self.clock.now().after(route.timeout);
        CallerRequest { deadline: caller.deadline.min(latest), ..caller }
    }
}
