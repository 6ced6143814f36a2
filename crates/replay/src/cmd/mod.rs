//! Subcommands, one per module.

mod generate;
mod path;
mod run;

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::error::ReplayError;

/// Returns the definition of the command line.
pub(crate) fn command() -> Command {
    Command::new("clementine-replay")
        .about("Replay traces and measure the overhead of an entry")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(generate::command())
        .subcommand(run::command())
        .subcommand(path::command())
}

/// Runs the selected subcommand.
pub(crate) fn dispatch(matches: &ArgMatches) -> Result<ExitCode, ReplayError> {
    actix_rt::System::new().block_on(async move {
        match matches.subcommand() {
            Some((generate::NAME, args)) => generate::run(args),
            Some((run::NAME, args)) => run::run(args).await,
            Some((path::NAME, args)) => path::run(args).await,
            _ => Ok(ExitCode::FAILURE),
        }
    })
}
