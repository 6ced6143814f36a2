//! Configuration of a test cluster.

use std::net::SocketAddr;

/// Processes of a test cluster and their flags.
#[derive(Debug, Clone, Default)]
pub struct ClusterSpec {
    pub(super) entries: usize,
    pub(super) entry_args: Vec<String>,
    pub(super) backends: Vec<BackendSpec>,
}

/// Configuration of one backend server and its agent.
#[derive(Debug, Clone)]
pub(super) struct BackendSpec {
    pub(super) pool: String,
    pub(super) standin_args: Vec<String>,
    pub(super) agent_args: Vec<String>,
    /// Server to which the agent sends requests instead of the stand-in.
    pub(super) server: Option<SocketAddr>,
}

impl ClusterSpec {
    /// Creates a configuration with a number of entries and no backend servers.
    #[must_use]
    pub fn new(entries: usize) -> Self {
        Self { entries, ..Self::default() }
    }

    /// Adds a command line flag for all entries.
    #[must_use]
    pub fn entry_flag(mut self, name: &str, value: &str) -> Self {
        self.entry_args.extend([format!("--{name}"), value.to_owned()]);
        self
    }

    /// Adds engines that hold all layers of the model.
    #[must_use]
    pub fn engines(self, count: usize, token_time: &str) -> Self {
        self.backends("assistants", count, &["engine", "--token-time", token_time])
    }

    /// Adds engines that hold a range of layers: stages of a split model.
    #[must_use]
    pub fn stages(self, pool: &str, count: usize, layers: &str, token_time: &str) -> Self {
        self.backends(pool, count, &["engine", "--token-time", token_time, "--layers", layers])
    }

    /// Adds replicas of the order service that share a record file.
    #[must_use]
    pub fn services(self, count: usize, record: &std::path::Path, answer_time: &str) -> Self {
        let record = record.display().to_string();
        self.backends(
            "orders",
            count,
            &["service", "--record", &record, "--answer-time", answer_time],
        )
    }

    /// Adds backend servers to a pool.
    #[must_use]
    pub fn backends(mut self, pool: &str, count: usize, standin_args: &[&str]) -> Self {
        let spec = BackendSpec {
            pool: pool.to_owned(),
            standin_args: standin_args.iter().map(|arg| (*arg).to_owned()).collect(),
            agent_args: Vec::new(),
            server: None,
        };
        self.backends.extend(std::iter::repeat_n(spec, count));
        self
    }

    /// Adds a command line flag for the agents of all backend servers added so far.
    #[must_use]
    pub fn agent_flag(mut self, name: &str, value: &str) -> Self {
        for backend in &mut self.backends {
            backend.agent_args.extend([format!("--{name}"), value.to_owned()]);
        }
        self
    }

    /// Adds a backend server to a pool whose agent sends all requests to a server of
    /// the test.
    #[must_use]
    pub fn backend_at(mut self, pool: &str, server: SocketAddr) -> Self {
        // The stand-in that runs in addition receives nothing.
        self = self.backends(pool, 1, &["engine"]);
        if let Some(backend) = self.backends.last_mut() {
            backend.server = Some(server);
        }
        self
    }
}
