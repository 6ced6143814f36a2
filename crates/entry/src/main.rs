//! The entry: callers' HTTP, the administration API, routing, retries and
//! claims.

mod admin;
mod callers;
mod cmd;
mod config;
mod entry;
mod fleet;
mod model;
mod once;
mod run;
mod settings;
mod store;

use std::error::Error;
use std::process::ExitCode;

use clap::ArgMatches;

fn main() -> ExitCode {
    let command = settings::command()
        .subcommand(cmd::direct::command())
        .subcommand(cmd::check::command())
        .subcommand_negates_reqs(true)
        .args_conflicts_with_subcommands(true);
    match dispatch(&command.get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("clementine-entry: {error}");
            ExitCode::FAILURE
        }
    }
}

fn dispatch(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    match matches.subcommand() {
        Some((cmd::direct::NAME, matches)) => cmd::direct::run(matches),
        Some((cmd::check::NAME, matches)) => cmd::check::run(matches),
        _ => Ok(run::run(settings::EntrySettings::read(matches)?)?),
    }
}
