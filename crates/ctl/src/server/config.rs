//! Addresses of the servers, and settings of the calls to them.

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches};

/// Default timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Addresses of the servers, and settings of the calls to them.
#[derive(Debug, Clone)]
pub(crate) struct ServerConfig {
    pub(super) servers: Vec<String>,
    pub(super) token: Option<String>,
    pub(super) call_timeout: Duration,
}

impl ServerConfig {
    /// Creates settings without servers.
    pub(crate) const fn new() -> Self {
        Self { servers: Vec::new(), token: None, call_timeout: CALL_TIMEOUT }
    }

    /// Adds servers.
    pub(crate) fn servers(mut self, servers: impl Iterator<Item = String>) -> Self {
        self.servers.extend(servers);
        self
    }

    /// Sets the administration token.
    pub(crate) fn token(mut self, token: Option<String>) -> Self {
        self.token = token;
        self
    }

    /// Reads the settings from the global arguments.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        let servers = matches.get_many::<String>("server").into_iter().flatten().cloned();
        Self::new().servers(servers).token(matches.get_one::<String>("token").cloned())
    }

    /// Returns the global arguments.
    pub(crate) fn args() -> [Arg; 2] {
        let server = Arg::new("server")
            .long("server")
            .value_name("ADDRESS")
            .help("Administration address of an entry; can be repeated")
            .env("CLEMENTINE_SERVER")
            .value_delimiter(',')
            .default_value("127.0.0.1:7080")
            .action(ArgAction::Append)
            .global(true);
        let token = Arg::new("token")
            .long("token")
            .value_name("TOKEN")
            .help("Bearer token for the administration API")
            .env("CLEMENTINE_ADMIN_TOKEN")
            .hide_env_values(true)
            .global(true);
        [server, token]
    }
}
