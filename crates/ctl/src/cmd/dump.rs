//! `clementinectl dump`: prints the internal state of a process.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};

use crate::error::CliError;
use crate::server::ServerClient;

/// Name of the subcommand.
pub(super) const NAME: &str = "dump";

const USAGE: &str = "\
Prints the internal state of a process as JSON.

Usage:
    clementinectl dump ADDRESS";

/// Returns the definition of the subcommand.
pub(super) fn command() -> Command {
    let address = Arg::new("address")
        .value_name("ADDRESS")
        .help("Administration address of an entry or agent")
        .required(true);
    Command::new(NAME).about("Print the internal state of a process").long_about(USAGE).arg(address)
}

/// Runs the subcommand.
pub(super) async fn run(client: &ServerClient, matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let address: String = matches.get_one("address").cloned().unwrap_or_default();
    let state = client.dump(&address).await?;
    let text = serde_json::to_string_pretty(&state);
    println!("{}", text.map_err(|error| CliError::Serialize { message: error.to_string() })?);
    Ok(ExitCode::SUCCESS)
}
