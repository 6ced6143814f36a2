//! `clementinectl history`: lists the accepted changes.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use clementine_objects::ChangeRecord;

use crate::error::CliError;
use crate::server::ServerClient;

/// Name of the subcommand.
pub(super) const NAME: &str = "history";

const USAGE: &str = "\
Lists the accepted changes: revision, time (seconds since the Unix epoch),
author, change id and the objects that were stored (+) or deleted (-).

Usage:
    clementinectl history";

/// Returns the definition of the subcommand.
pub(super) fn command() -> Command {
    Command::new(NAME).about("List the accepted changes").long_about(USAGE)
}

/// Runs the subcommand.
pub(super) async fn run(client: &ServerClient, _: &ArgMatches) -> Result<ExitCode, CliError> {
    for record in client.history().await? {
        println!("{}", line(&record));
    }
    Ok(ExitCode::SUCCESS)
}

fn line(record: &ChangeRecord) -> String {
    let seconds = record.published_unix_ms / 1_000;
    let stored = record.change.puts.iter().map(|object| format!("+{}", object.reference()));
    let deleted = record.change.deletes.iter().map(|reference| format!("-{reference}"));
    let affected: Vec<_> = stored.chain(deleted).collect();
    format!(
        "{:>6}  {seconds}  {}  {}  {}",
        record.revision,
        record.author,
        record.id,
        affected.join(", ")
    )
}
