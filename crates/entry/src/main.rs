//! The entry process: serves callers' HTTP requests and the administration API,
//! routes and retries requests, and claims idempotency keys.

mod admin;
mod callers;
mod cmd;
mod config;
mod entry;
mod fleet;
mod limits;
mod operation;
mod retryable;
mod run;
mod settings;
mod store;

use std::error::Error;
use std::process::ExitCode;

use clap::{ArgMatches, Command};

/// Version and commit hash of this build.
const VERSION: &str = concat!(env!("CARGO_PKG_VERSION"), " (", env!("CLEMENTINE_COMMIT"), ")");

fn main() -> ExitCode {
    match dispatch(&command().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("clementine-entry: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    settings::command()
        .version(VERSION)
        .subcommand(cmd::direct::command())
        .subcommand(cmd::check::command())
        .subcommand(cmd::explain::command())
        .subcommand(cmd::completions::command())
        .subcommand_negates_reqs(true)
        .args_conflicts_with_subcommands(true)
}

fn dispatch(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    match matches.subcommand() {
        Some((cmd::direct::NAME, matches)) => cmd::direct::run(matches),
        Some((cmd::check::NAME, matches)) => cmd::check::run(matches),
        Some((cmd::explain::NAME, matches)) => cmd::explain::run(matches),
        Some((cmd::completions::NAME, matches)) => {
            cmd::completions::run(matches, command());
            Ok(())
        }
        _ => Ok(run::run(settings::EntrySettings::read(matches)?)?),
    }
}
