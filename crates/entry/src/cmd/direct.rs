//! `clementine-entry direct`: connects to backend servers without agents.

use std::error::Error;

use clap::{ArgMatches, Command};
use clementine_decide::prefixes::PrefixAffinity;
use clementine_process::settings::{SettingsReader, setting};
use spdlog::Level;

/// Name of the subcommand.
pub(crate) const NAME: &str = "direct";

/// Returns the definition of the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Serve callers without agents, on the platform given by the settings file")
        .long_about(
            "Serves callers and sends their requests directly to backend servers. Configuration, \
             backend servers and leases are read from the platform's store. The settings file \
             written by the platform identifies the instance and gives the store's address.",
        )
        .arg(setting(
            "log-level",
            "LEVEL",
            "Minimum log level: debug, info, warn or error [default: info]",
        ))
        .arg(setting(
            "metrics-port",
            "PORT",
            "Port for /metrics, /state and /readyz [default: none]",
        ))
        .arg(setting(
            "prefix-affinity",
            "on|off",
            "Send requests of sticky routes to engines that hold the beginning of their prompts \
             [default: on]",
        ))
}

/// Runs the subcommand.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let mut reader = SettingsReader::new(matches);
    let level = reader.or("log-level", Level::Info);
    let metrics_port = reader.optional("metrics-port");
    let prefix_affinity = reader.or("prefix-affinity", PrefixAffinity::default());
    let level = reader.finish(level)?;
    Ok(clementine_direct::run(level, metrics_port, prefix_affinity)?)
}
