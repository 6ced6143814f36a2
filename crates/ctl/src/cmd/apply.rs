//! `clementinectl apply`: stores objects.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use clementine_objects::{Change, Revision, Snapshot};

use super::{args, change};
use crate::error::CliError;
use crate::files::DeclaredObjects;
use crate::server::ServerClient;

/// Name of the subcommand.
pub(super) const NAME: &str = "apply";

const USAGE: &str = "\
Stores the objects of YAML files atomically, after validating the resulting
configuration as a whole. With `--revision`, publishes the objects of an
earlier revision as a new revision.

Usage:
    clementinectl apply -f FILE... [--dry-run]
    clementinectl apply --revision N [--dry-run]";

#[derive(Debug)]
struct Args {
    files: Vec<PathBuf>,
    revision: Option<Revision>,
    dry_run: bool,
    author: String,
}

/// Returns the definition of the subcommand.
pub(super) fn command() -> Command {
    let revision = Arg::new("revision")
        .long("revision")
        .value_name("N")
        .help("Revision to restore")
        .value_parser(value_parser!(u64))
        .conflicts_with("file");
    Command::new(NAME)
        .about("Store objects")
        .long_about(USAGE)
        .arg(args::files().required_unless_present("revision"))
        .arg(revision)
        .arg(args::dry_run())
        .arg(args::author())
}

/// Runs the subcommand.
pub(super) async fn run(client: &ServerClient, matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let args = Args {
        files: matches.get_many("file").into_iter().flatten().cloned().collect(),
        revision: matches.get_one("revision").copied().map(Revision),
        dry_run: matches.get_flag("dry-run"),
        author: matches.get_one("author").cloned().unwrap_or_default(),
    };
    let declared = DeclaredObjects::read(&args.files)?;
    let stored = client.objects().await?;
    let catalog = stored.catalog();
    let requested = match args.revision {
        Some(revision) => Change::between(&catalog, &snapshot_at(client, revision).await?.catalog),
        None => Change { puts: declared.objects.clone(), deletes: Vec::new() },
    };
    let effective = Change::between(&catalog, &catalog.with_change(&requested));
    change::validate(&catalog, &effective, &declared)?;
    change::print_summary(&catalog, &effective);
    if args.dry_run {
        println!("validated against revision {}, nothing published", stored.revision);
        return Ok(ExitCode::SUCCESS);
    }
    change::publish(client, stored.revision, &args.author, &effective, &declared).await?;
    Ok(ExitCode::SUCCESS)
}

/// Rebuilds the configuration of an earlier revision by replaying the history.
async fn snapshot_at(client: &ServerClient, revision: Revision) -> Result<Snapshot, CliError> {
    let mut snapshot = Snapshot::default();
    for record in client.history().await? {
        if record.revision > revision {
            break;
        }
        snapshot = snapshot.advance(&record)?;
    }
    if snapshot.revision == revision {
        return Ok(snapshot);
    }
    Err(CliError::NotFound { object: format!("revision {revision}") })
}
