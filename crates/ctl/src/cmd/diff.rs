//! `clementinectl diff`: shows what `apply` would change.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{ArgMatches, Command};
use clementine_objects::{Change, Object};

use super::args;
use crate::error::CliError;
use crate::files::DeclaredObjects;
use crate::server::ServerClient;

/// Name of the subcommand.
pub(super) const NAME: &str = "diff";

const USAGE: &str = "\
Shows what `apply` would change. Exits with 1 if there are differences.

Usage:
    clementinectl diff -f FILE...";

#[derive(Debug)]
struct Args {
    files: Vec<PathBuf>,
}

/// Returns the definition of the subcommand.
pub(super) fn command() -> Command {
    Command::new(NAME)
        .about("Show what apply would change")
        .long_about(USAGE)
        .arg(args::files().required(true))
}

/// Runs the subcommand.
pub(super) async fn run(client: &ServerClient, matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let args = Args { files: matches.get_many("file").into_iter().flatten().cloned().collect() };
    let declared = DeclaredObjects::read(&args.files)?;
    let catalog = client.objects().await?.catalog();
    let requested = Change { puts: declared.objects, deletes: Vec::new() };
    let change = Change::between(&catalog, &catalog.with_change(&requested));
    for object in &change.puts {
        let reference = object.reference();
        println!("{reference}");
        let before = catalog.object(reference.kind, &reference.name);
        print_lines(before.as_ref(), object)?;
    }
    Ok(if change.puts.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

/// Prints the lines of the YAML form that the change removes or adds. Lines are
/// compared as a set: a line that only moves is not shown.
fn print_lines(before: Option<&Object>, after: &Object) -> Result<(), CliError> {
    let before = before.map(yaml).transpose()?.unwrap_or_default();
    let after = yaml(after)?;
    let missing_from = |text: &str, line: &str| !text.lines().any(|other| other == line);
    for line in before.lines().filter(|line| missing_from(&after, line)) {
        println!("  - {line}");
    }
    for line in after.lines().filter(|line| missing_from(&before, line)) {
        println!("  + {line}");
    }
    Ok(())
}

fn yaml(object: &Object) -> Result<String, CliError> {
    serde_yaml_ng::to_string(object)
        .map_err(|error| CliError::Serialize { message: error.to_string() })
}
