//! Subcommands, one per module.

mod apply;
mod args;
mod change;
mod check;
mod check_routing;
mod completions;
mod delete;
mod diff;
mod dump;
mod get;
mod history;
mod watch;

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::error::CliError;
use crate::server::{ServerClient, ServerConfig};

const USAGE: &str = "\
Manages the configuration of clementinehub: validates, publishes and lists
objects, and waits until a change is in force.

Exit codes: 0 success; 1 `diff` found differences, or `check` found anything;
2 invalid arguments or unreadable files; 3 invalid objects; 4 conflict with a concurrent change; 5 no
valid response from a server; 6 it is not known whether the change was accepted;
7 no such object; 8 timeout of `watch`.";

/// Returns the definition of the command line.
pub(crate) fn command() -> Command {
    Command::new("clementinectl")
        .about("Manage the configuration of clementinehub")
        .long_about(USAGE)
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(ServerConfig::args())
        .subcommand(apply::command())
        .subcommand(check::command())
        .subcommand(diff::command())
        .subcommand(get::command())
        .subcommand(delete::command())
        .subcommand(history::command())
        .subcommand(watch::command())
        .subcommand(dump::command())
        .subcommand(completions::command())
}

/// Runs the selected subcommand.
pub(crate) fn dispatch(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let config = ServerConfig::from_matches(matches);
    actix_rt::System::new().block_on(async move {
        let client = ServerClient::new(config);
        match matches.subcommand() {
            Some((apply::NAME, args)) => apply::run(&client, args).await,
            Some((check::NAME, args)) => check::run(&client, args).await,
            Some((diff::NAME, args)) => diff::run(&client, args).await,
            Some((get::NAME, args)) => get::run(&client, args).await,
            Some((delete::NAME, args)) => delete::run(&client, args).await,
            Some((history::NAME, args)) => history::run(&client, args).await,
            Some((watch::NAME, args)) => watch::run(&client, args).await,
            Some((dump::NAME, args)) => dump::run(&client, args).await,
            Some((completions::NAME, args)) => Ok(completions::run(args)),
            _ => Ok(ExitCode::FAILURE),
        }
    })
}
