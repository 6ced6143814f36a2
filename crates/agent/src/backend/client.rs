//! HTTP clients of the backend server.

use std::time::Duration;

use awc::{Client, Connector};
use clementine_objects::Repeat;
use compact_str::CompactString;

/// Longest time to connect to the backend server beside the agent.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Connections to the backend server.
const CONNECTIONS: usize = 4_096;

/// HTTP clients of one backend server.
#[derive(Clone)]
pub(crate) struct BackendClient {
    base_url: CompactString,
    pooled: Client,
    fresh: Client,
}

impl std::fmt::Debug for BackendClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("BackendClient").field("base_url", &self.base_url).finish_non_exhaustive()
    }
}

impl BackendClient {
    /// Clients of the backend server at a base URL.
    pub(crate) fn new(base_url: &str) -> Self {
        let pooled = Connector::new().timeout(CONNECT_TIME).limit(CONNECTIONS);
        // A connection kept open may be closed by the server while a request
        // is written to it, which leaves the outcome unknown.
        let fresh = Connector::new()
            .timeout(CONNECT_TIME)
            .limit(CONNECTIONS)
            .conn_keep_alive(Duration::ZERO)
            .conn_lifetime(Duration::ZERO);
        let build = |connector| {
            Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
        };
        Self { base_url: base_url.into(), pooled: build(pooled), fresh: build(fresh) }
    }

    /// The client for requests of a kind.
    pub(crate) const fn for_requests(&self, repeat: Repeat) -> &Client {
        match repeat {
            Repeat::Safe => &self.pooled,
            Repeat::Never => &self.fresh,
        }
    }

    /// URL of a path of the backend server.
    pub(crate) fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base_url)
    }
}
