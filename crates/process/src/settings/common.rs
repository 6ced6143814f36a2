//! Settings common to all processes.

use std::net::{Ipv4Addr, SocketAddr};

use clap::Arg;
use clementine_objects::Millis;
use compact_str::CompactString;

use super::{SettingsReader, setting};
use crate::logging::LogFormat;

/// Settings of the administration server.
#[derive(Debug, Clone)]
pub struct AdminSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Bearer token required of requests. Always set if `listen` is not a
    /// loopback address.
    pub token: Option<AdminToken>,
}

/// Administration token. `Debug` output is redacted to keep it out of logs and
/// state dumps.
#[derive(Clone, PartialEq, Eq)]
pub struct AdminToken(CompactString);

impl std::fmt::Debug for AdminToken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("AdminToken(..)")
    }
}

impl std::str::FromStr for AdminToken {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.into()))
    }
}

impl AdminToken {
    /// Returns whether an `Authorization` header carries the token. The
    /// comparison takes equally long wherever the first difference is, so that
    /// the token does not leak through timing.
    pub fn matches(&self, authorization: &str) -> bool {
        let given = authorization.strip_prefix("Bearer ").unwrap_or_default().as_bytes();
        let expected = self.0.as_bytes();
        let differences = given.iter().zip(expected).fold(0, |all, (a, b)| all | (a ^ b));
        given.len() == expected.len() && differences == 0
    }
}

/// Settings common to all processes.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    /// Administration server.
    pub admin: AdminSettings,
    /// Log output format.
    pub log_format: LogFormat,
    /// Minimum level that is logged.
    pub log_level: spdlog::Level,
    /// Maximum duration of a drain.
    pub drain_limit: Millis,
}

/// Returns the flags common to all processes.
pub fn process_args() -> [Arg; 5] {
    [
        setting("admin-listen", "ADDRESS", "Administration address [default: 127.0.0.1:0]"),
        setting(
            "admin-token",
            "TOKEN",
            "Bearer token for the administration address; required unless it is on loopback",
        )
        .hide_env_values(true),
        setting("log-format", "FORMAT", "Log format: text or json [default: text]"),
        setting(
            "log-level",
            "LEVEL",
            "Minimum log level: debug, info, warn or error [default: info]",
        ),
        setting("drain-limit", "DURATION", "Maximum duration of a drain [default: 60s]"),
    ]
}

impl ProcessSettings {
    /// Reads the settings. Errors are collected in `reader`.
    pub fn read(reader: &mut SettingsReader<'_>) -> Self {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listen: SocketAddr = reader.or("admin-listen", loopback);
        let token = reader.optional("admin-token");
        let protected = token.is_some() || listen.ip().is_loopback();
        reader.require(
            protected,
            "admin-token",
            "is required when --admin-listen is not on loopback",
        );
        Self {
            admin: AdminSettings { listen, token },
            log_format: reader.or("log-format", LogFormat::Text),
            log_level: reader.or("log-level", spdlog::Level::Info),
            drain_limit: reader.or("drain-limit", Millis(60_000)),
        }
    }
}
