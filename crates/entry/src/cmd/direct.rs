//! `clementine-entry direct`: reaches backend servers without agents.

use std::error::Error;

use clap::{ArgMatches, Command};
use clementine_process::settings::{SettingsReader, setting};
use spdlog::Level;

/// Name of the subcommand.
pub(crate) const NAME: &str = "direct";

/// Flags of the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about(
            "Reaches backend servers without agents, on the platform that the settings file names",
        )
        .long_about(
            "Serves callers and sends their requests to backend servers itself. Configuration, \
             backend servers and leases are in the platform's store. What the instance is and \
             where the store is stand in the settings file that the platform writes.",
        )
        .arg(setting(
            "log-level",
            "LEVEL",
            "Least level logged: debug, info, warn or error [default: info]",
        ))
        .arg(setting(
            "metrics-port",
            "PORT",
            "Port of the instance for /metrics, /state and /readyz [default: none]",
        ))
}

/// Runs the subcommand.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let mut reader = SettingsReader::new(matches);
    let level = reader.or("log-level", Level::Info);
    let metrics_port = reader.optional("metrics-port");
    let level = reader.finish(level)?;
    Ok(clementine_direct::run(level, metrics_port)?)
}
