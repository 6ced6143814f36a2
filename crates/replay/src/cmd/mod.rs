//! The commands, one file each.

mod generate;
mod path;
mod run;

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::error::ReplayError;

/// The whole command line.
pub(crate) fn command() -> Command {
    Command::new("clementine-replay")
        .about("Replays traces and measures the path")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(generate::command())
        .subcommand(run::command())
        .subcommand(path::command())
}

/// Runs the command that was given.
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
