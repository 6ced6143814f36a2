//! `clementinectl check`: reports errors and entries without effect.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clementine_objects::{Catalog, Change, check_catalog, validate_catalog};

use super::change::print_summary;
use super::check_routing::{self, PoolSize, parse_pool_size};
use crate::error::CliError;
use crate::files::DeclaredObjects;
use crate::server::ServerClient;

/// Name of the subcommand.
pub(super) const NAME: &str = "check";

/// Value of `--against` for the configuration that a server uses.
const SERVER: &str = "server";

const USAGE: &str = "\
Reports errors, entries that can never match or be used, and limits that another
limit makes ineffective. Publishes nothing.

Without `--against`, the files are a whole configuration. With it, they are added
to the one in FILE, or to the one that a server uses, as `apply` would; the
differences are reported as well: objects that are added (+), changed (~), or in
force but not in the files (-), which `apply` keeps.

With `--routing`, FILE is the routing configuration of entries that reach backend
servers themselves (`clementine-entry direct`), a JSON document. `--servers` tells the
number of servers of a pool, with which the attempts of routes are compared.

Exits with 1 if it reports anything.

Usage:
    clementinectl check FILE... [--against FILE|server]
    clementinectl check --routing FILE [--against FILE] [--servers POOL=N]...";

#[derive(Debug)]
struct Args {
    files: Vec<PathBuf>,
    against: Option<PathBuf>,
}

/// Returns the definition of the subcommand.
pub(super) fn command() -> Command {
    let files = Arg::new("file")
        .value_name("FILE")
        .help("YAML file with objects; `-` reads standard input")
        .num_args(1..)
        .required(true)
        .action(ArgAction::Append)
        .value_parser(value_parser!(PathBuf));
    let against = Arg::new("against")
        .long("against")
        .value_name("FILE|server")
        .help("Configuration in force: a YAML file, or `server`")
        .value_parser(value_parser!(PathBuf));
    let routing = Arg::new("routing")
        .long("routing")
        .help("FILE is a routing configuration of `clementine-entry direct`")
        .action(ArgAction::SetTrue);
    let servers = Arg::new("servers")
        .long("servers")
        .value_name("POOL=N")
        .help("Number of servers of a pool; can be repeated")
        .action(ArgAction::Append)
        .requires("routing")
        .value_parser(parse_pool_size);
    Command::new(NAME)
        .about("Report errors and entries without effect")
        .long_about(USAGE)
        .arg(files)
        .arg(against)
        .arg(routing)
        .arg(servers)
}

/// Runs the subcommand.
pub(super) async fn run(client: &ServerClient, matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let args = Args {
        files: matches.get_many("file").into_iter().flatten().cloned().collect(),
        against: matches.get_one("against").cloned(),
    };
    if matches.get_flag("routing") {
        let [file] = args.files.as_slice() else {
            return Ok(usage_error("`--routing` takes one FILE"));
        };
        let sizes = matches.get_many::<PoolSize>("servers").into_iter().flatten().cloned();
        return match args.against.as_deref() {
            Some(base) if base == Path::new(SERVER) => {
                Ok(usage_error("`--against` takes a file with `--routing`"))
            }
            against => check_routing::run(file, against, sizes),
        };
    }
    let declared = match DeclaredObjects::read(&args.files) {
        Ok(declared) => declared,
        Err(CliError::Invalid { errors }) => {
            let lines: Vec<_> = errors.iter().map(|error| format!("error: {error}")).collect();
            return Ok(report(&lines));
        }
        Err(error) => return Err(error),
    };
    let Some(against) = &args.against else {
        return Ok(report(&findings(&declared.catalog(), &declared)));
    };
    let in_force = catalog_in_force(client, against).await?;
    let puts = Change { puts: declared.objects.clone(), deletes: Vec::new() };
    let code = report(&findings(&in_force.with_change(&puts), &declared));
    let difference = Change::between(&in_force, &declared.catalog());
    print_summary(&in_force, &difference);
    let is_same = difference.puts.is_empty() && difference.deletes.is_empty();
    Ok(if is_same { code } else { ExitCode::from(1) })
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("clementinectl: {message}");
    ExitCode::from(2)
}

async fn catalog_in_force(client: &ServerClient, against: &Path) -> Result<Catalog, CliError> {
    if against == Path::new(SERVER) {
        return Ok(client.objects().await?.catalog());
    }
    Ok(DeclaredObjects::read(&[against.to_owned()])?.catalog())
}

/// The errors of a catalog, then its findings, one line each.
fn findings(catalog: &Catalog, declared: &DeclaredObjects) -> Vec<String> {
    let errors = validate_catalog(catalog);
    let errors = errors.iter().map(|error| format!("error: {}", declared.with_file(error)));
    let found = check_catalog(catalog);
    let found =
        found.iter().map(|finding| format!("finding: {}", declared.finding_with_file(finding)));
    errors.chain(found).collect()
}

/// Prints lines. Returns the exit code: 1 if there are any.
pub(super) fn report(lines: &[String]) -> ExitCode {
    for line in lines {
        println!("{line}");
    }
    if lines.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) }
}
