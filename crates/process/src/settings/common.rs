//! Settings that every process has.

use std::net::{Ipv4Addr, SocketAddr};

use clap::Arg;
use clementine_objects::Millis;
use compact_str::CompactString;

use super::{SettingsReader, setting};
use crate::logging::LogFormat;

/// Settings of the administration address.
#[derive(Debug, Clone)]
pub struct AdminSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Bearer token that requests need; always set off loopback.
    pub token: Option<AdminToken>,
}

/// The administration token; its text shows in no log or dump.
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
    /// Whether an `Authorization` header carries the token. Takes the same
    /// time wherever the first difference is.
    pub fn matches(&self, authorization: &str) -> bool {
        let given = authorization.strip_prefix("Bearer ").unwrap_or_default().as_bytes();
        let expected = self.0.as_bytes();
        let differences = given.iter().zip(expected).fold(0, |all, (a, b)| all | (a ^ b));
        given.len() == expected.len() && differences == 0
    }
}

/// Settings that every process has.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    /// The administration address.
    pub admin: AdminSettings,
    /// Format of the log.
    pub log_format: LogFormat,
    /// Least level that is logged.
    pub log_level: spdlog::Level,
    /// Longest time that a drain may take.
    pub drain_limit: Millis,
}

/// Flags of the settings that every process has.
pub fn process_args() -> [Arg; 5] {
    [
        setting("admin-listen", "ADDRESS", "Administration address [default: 127.0.0.1:0]"),
        setting(
            "admin-token",
            "TOKEN",
            "Bearer token of the administration address; needed off loopback",
        )
        .hide_env_values(true),
        setting("log-format", "FORMAT", "Format of the log: text or json [default: text]"),
        setting(
            "log-level",
            "LEVEL",
            "Least level logged: debug, info, warn or error [default: info]",
        ),
        setting("drain-limit", "DURATION", "Longest time that a drain may take [default: 60s]"),
    ]
}

impl ProcessSettings {
    /// Reads the settings.
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
