//! Client of the administration API.

use std::net::SocketAddr;

use awc::http::StatusCode;
use awc::{Client, ClientRequest};
use clementine_objects::{
    Catalog, Change, ChangeConflict, ChangeId, ChangeRecord, Object, Revision, ValidationError,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::ServerConfig;
use crate::error::CliError;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// The objects of the revision that a server uses.
#[derive(Debug, Deserialize)]
pub(crate) struct ObjectsResponse {
    /// Revision of the configuration.
    pub(crate) revision: Revision,
    objects: Vec<Object>,
}

impl ObjectsResponse {
    /// Builds a catalog of the objects.
    pub(crate) fn catalog(&self) -> Catalog {
        let mut catalog = Catalog::default();
        self.objects.iter().cloned().for_each(|object| catalog.put(object));
        catalog
    }
}

/// The configuration revision that an agent uses.
#[derive(Debug, Deserialize)]
pub(crate) struct AgentRevision {
    /// Address of the agent.
    pub(crate) address: SocketAddr,
    /// Revision, if the agent has reported it to the entry.
    pub(crate) revision: Option<Revision>,
}

/// The configuration revisions that an entry and its agents use.
#[derive(Debug, Deserialize)]
pub(crate) struct RevisionsResponse {
    /// Revision of the entry.
    pub(crate) entry: Revision,
    /// Revisions of the agents.
    pub(crate) agents: Vec<AgentRevision>,
}

#[derive(Debug, Serialize)]
struct PublishRequest<'a> {
    id: ChangeId,
    base: Revision,
    author: &'a str,
    change: &'a Change,
}

#[derive(Debug, Deserialize)]
struct AcceptedResponse {
    revision: Revision,
}

#[derive(Debug, Deserialize)]
struct RejectedResponse {
    code: String,
    message: String,
    #[serde(default)]
    faults: Vec<ValidationError>,
    conflict: Option<ChangeConflict>,
}

/// Result of publishing a change.
#[derive(Debug)]
pub(crate) enum ChangeOutcome {
    /// The change was accepted as this revision.
    Accepted(Revision),
    /// The change has no effect on the current configuration.
    NoChange,
    /// The resulting configuration would be invalid.
    Invalid(Vec<ValidationError>),
}

/// Client of the administration API of entries.
pub(crate) struct ServerClient {
    config: ServerConfig,
    client: Client,
}

impl ServerClient {
    /// Creates a client of the configured servers.
    pub(crate) fn new(config: ServerConfig) -> Self {
        Self { client: Client::builder().disable_redirects().finish(), config }
    }

    /// Fetches all objects from the first server that responds.
    pub(crate) async fn objects(&self) -> Result<ObjectsResponse, CliError> {
        self.get_from_any("/v1/objects").await
    }

    /// Fetches the history from the first server that responds.
    pub(crate) async fn history(&self) -> Result<Vec<ChangeRecord>, CliError> {
        self.get_from_any("/v1/history").await
    }

    /// Fetches the revisions from every server. Fails if one of them does not respond.
    pub(crate) async fn revisions(&self) -> Result<Vec<RevisionsResponse>, CliError> {
        let mut all = Vec::new();
        for server in &self.config.servers {
            all.push(self.get(server, "/v1/revisions").await?);
        }
        Ok(all)
    }

    /// Fetches the state dump of a process.
    pub(crate) async fn dump(&self, address: &str) -> Result<Value, CliError> {
        self.get(address, "/state").await
    }

    /// Publishes a change through the first server that responds. If the response
    /// is lost, the change is sent to the next server with the same id, so that a
    /// server that finds the id in the history does not publish the change again.
    pub(crate) async fn publish(
        &self,
        base: Revision,
        author: &str,
        change: &Change,
    ) -> Result<ChangeOutcome, CliError> {
        let id = ChangeId(rand::random());
        let request = PublishRequest { id, base, author, change };
        let mut last_error = unavailable("", "no server is configured");
        for server in &self.config.servers {
            match self.post_change(server, &request).await {
                Err(error @ (CliError::Unavailable { .. } | CliError::Indeterminate { .. })) => {
                    last_error = error;
                }
                outcome => return outcome,
            }
        }
        Err(last_error)
    }

    async fn post_change(
        &self,
        server: &str,
        request: &PublishRequest<'_>,
    ) -> Result<ChangeOutcome, CliError> {
        let post = self.authorized(self.client.post(url(server, "/v1/changes")));
        let mut response = match post.send_json(request).await {
            Ok(response) => response,
            Err(error) => return Err(unavailable(server, &error.to_string())),
        };
        let status = response.status();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|_| CliError::Indeterminate { id: request.id })?;
        if status == StatusCode::OK
            && let Ok(accepted) = serde_json::from_slice::<AcceptedResponse>(&body)
        {
            return Ok(ChangeOutcome::Accepted(accepted.revision));
        }
        let rejected: RejectedResponse = parse(server, &body)?;
        match rejected.code.as_str() {
            "empty" => Ok(ChangeOutcome::NoChange),
            "faulty" => Ok(ChangeOutcome::Invalid(rejected.faults)),
            "conflict" => {
                let message = rejected.conflict.map_or(rejected.message, |c| c.to_string());
                Err(CliError::Conflict { message })
            }
            "unclear" => Err(CliError::Indeterminate { id: request.id }),
            _ => Err(unavailable(server, &rejected.message)),
        }
    }

    async fn get_from_any<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let mut last_error = unavailable("", "no server is configured");
        for server in &self.config.servers {
            match self.get(server, path).await {
                Ok(response) => return Ok(response),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    async fn get<T: DeserializeOwned>(&self, server: &str, path: &str) -> Result<T, CliError> {
        let request = self.authorized(self.client.get(url(server, path)));
        let mut response =
            request.send().await.map_err(|error| unavailable(server, &error.to_string()))?;
        let status = response.status();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| unavailable(server, &error.to_string()))?;
        if status != StatusCode::OK {
            return Err(unavailable(server, String::from_utf8_lossy(&body).trim()));
        }
        parse(server, &body)
    }

    fn authorized(&self, request: ClientRequest) -> ClientRequest {
        let request = request.timeout(self.config.call_timeout);
        match &self.config.token {
            Some(token) => request.bearer_auth(token),
            None => request,
        }
    }
}

fn url(server: &str, path: &str) -> String {
    format!("http://{server}{path}")
}

fn parse<T: DeserializeOwned>(server: &str, body: &[u8]) -> Result<T, CliError> {
    serde_json::from_slice(body).map_err(|error| CliError::MalformedResponse {
        server: server.to_owned(),
        message: error.to_string(),
    })
}

fn unavailable(server: &str, message: &str) -> CliError {
    CliError::Unavailable { server: server.to_owned(), message: message.to_owned() }
}
