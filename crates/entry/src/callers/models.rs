//! Model list of `/v1/models`.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use clementine_objects::Workspace;
use clementine_process::http::json_response;
use serde::Serialize;

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'a str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    owned_by: &'a str,
}

/// Lists the models that a workspace may use, in the OpenAI-compatible format.
pub(super) fn models_response(workspace: &Workspace) -> Response<BoxBody> {
    let entry = |id| ModelEntry { id, object: "model", created: 0, owned_by: "clementinehub" };
    let data = workspace.models.iter().map(|name| entry(name.as_str())).collect();
    json_response(StatusCode::OK, &ModelList { object: "list", data })
}
