//! Which servers the commands talk to, and how.

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches};

/// Longest time of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Which servers the commands talk to, and how.
#[derive(Debug, Clone)]
pub(crate) struct ServerConfig {
    pub(super) servers: Vec<String>,
    pub(super) token: Option<String>,
    pub(super) call_timeout: Duration,
}

impl ServerConfig {
    /// Settings without a server.
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

    /// Reads the settings from the flags that all commands share.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        let servers = matches.get_many::<String>("server").into_iter().flatten().cloned();
        Self::new().servers(servers).token(matches.get_one::<String>("token").cloned())
    }

    /// The flags that all commands share.
    pub(crate) fn args() -> [Arg; 2] {
        let server = Arg::new("server")
            .long("server")
            .value_name("ADDRESS")
            .help("Administration address of an entry; may be repeated")
            .env("CLEMENTINE_SERVER")
            .value_delimiter(',')
            .default_value("127.0.0.1:7080")
            .action(ArgAction::Append)
            .global(true);
        let token = Arg::new("token")
            .long("token")
            .value_name("TOKEN")
            .help("Administration token")
            .env("CLEMENTINE_ADMIN_TOKEN")
            .hide_env_values(true)
            .global(true);
        [server, token]
    }
}
