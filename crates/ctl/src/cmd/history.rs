//! `clementinectl history`.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use clementine_objects::ChangeRecord;

use crate::error::CliError;
use crate::server::ServerClient;

/// Name of the command.
pub(super) const NAME: &str = "history";

const USAGE: &str = "\
Lists the accepted changes: revision, time (seconds since 1970), author, change
and the objects that it affected.

Usage:
    clementinectl history";

/// The command's flags.
pub(super) fn command() -> Command {
    Command::new(NAME).about("List the accepted changes").long_about(USAGE)
}

/// Runs the command.
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
