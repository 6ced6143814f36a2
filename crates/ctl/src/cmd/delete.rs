//! `clementinectl delete`: deletes an object.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use clementine_objects::{Change, ObjectKind, ObjectRef};

use super::{args, change};
use crate::error::CliError;
use crate::files::DeclaredObjects;
use crate::server::ServerClient;

/// Name of the subcommand.
pub(super) const NAME: &str = "delete";

const USAGE: &str = "\
Deletes one object. An object that other objects reference cannot be deleted.

Usage:
    clementinectl delete KIND NAME [--dry-run]";

#[derive(Debug)]
struct Args {
    object: ObjectRef,
    dry_run: bool,
    author: String,
}

/// Returns the definition of the subcommand.
pub(super) fn command() -> Command {
    Command::new(NAME)
        .about("Delete an object")
        .long_about(USAGE)
        .arg(args::kind())
        .arg(Arg::new("name").value_name("NAME").help("Name of the object").required(true))
        .arg(args::dry_run())
        .arg(args::author())
}

/// Runs the subcommand.
pub(super) async fn run(client: &ServerClient, matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let kind = matches.get_one("kind").copied().unwrap_or(ObjectKind::Pool);
    let name: String = matches.get_one("name").cloned().unwrap_or_default();
    let args = Args {
        object: ObjectRef { kind, name: name.into() },
        dry_run: matches.get_flag("dry-run"),
        author: matches.get_one("author").cloned().unwrap_or_default(),
    };
    let stored = client.objects().await?;
    let catalog = stored.catalog();
    if catalog.object(args.object.kind, &args.object.name).is_none() {
        return Err(CliError::NotFound { object: args.object.to_string() });
    }
    let deletion = Change { puts: Vec::new(), deletes: vec![args.object] };
    let declared = DeclaredObjects::default();
    change::validate(&catalog, &deletion, &declared)?;
    change::print_summary(&catalog, &deletion);
    if !args.dry_run {
        change::publish(client, stored.revision, &args.author, &deletion, &declared).await?;
    }
    Ok(ExitCode::SUCCESS)
}
