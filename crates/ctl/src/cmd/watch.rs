//! `clementinectl watch`: waits until a revision is in force.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use clementine_objects::{Millis, Revision};

use crate::error::CliError;
use crate::server::{RevisionsResponse, ServerClient};

/// Name of the subcommand.
pub(super) const NAME: &str = "watch";

const USAGE: &str = "\
Waits until every entry given by `--server`, and every agent known to these
entries, reports the given or a later revision. `--revision` defaults to the
newest revision that any of the entries uses.

Usage:
    clementinectl --server ADDRESS... watch [--revision N] [--timeout 30s]";

/// Interval between two queries of the servers.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Args {
    revision: Option<Revision>,
    timeout: Millis,
}

/// Returns the definition of the subcommand.
pub(super) fn command() -> Command {
    let revision = Arg::new("revision")
        .long("revision")
        .value_name("N")
        .help("Revision to wait for")
        .value_parser(value_parser!(u64));
    let timeout = Arg::new("timeout")
        .long("timeout")
        .value_name("DURATION")
        .help("Maximum time to wait")
        .default_value("30s")
        .value_parser(|text: &str| text.parse::<Millis>());
    Command::new(NAME)
        .about("Wait until a revision is in force everywhere")
        .long_about(USAGE)
        .arg(revision)
        .arg(timeout)
}

/// Runs the subcommand.
pub(super) async fn run(client: &ServerClient, matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let args = Args {
        revision: matches.get_one("revision").copied().map(Revision),
        timeout: matches.get_one("timeout").copied().unwrap_or(Millis(30_000)),
    };
    let started = Instant::now();
    let mut target = args.revision;
    let mut reported = None;
    loop {
        let responses = client.revisions().await?;
        let revision = *target.get_or_insert_with(|| newest(&responses));
        let (in_force, total) = count_in_force(&responses, revision);
        if reported.replace(in_force) != Some(in_force) {
            println!("revision {revision}: in force at {in_force} of {total} instances");
        }
        if in_force == total {
            return Ok(ExitCode::SUCCESS);
        }
        if started.elapsed() >= args.timeout.duration() {
            return Err(CliError::WatchTimeout { behind: total - in_force });
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the newest revision that any entry uses.
fn newest(responses: &[RevisionsResponse]) -> Revision {
    responses.iter().map(|response| response.entry).max().unwrap_or_default()
}

/// Returns the number of instances at or after the target revision, and the
/// number of all instances. An agent known to several entries counts once, with
/// the newest revision that an entry reports for it.
fn count_in_force(responses: &[RevisionsResponse], target: Revision) -> (usize, usize) {
    let mut agents = std::collections::BTreeMap::new();
    for agent in responses.iter().flat_map(|response| &response.agents) {
        let newest = agents.entry(agent.address).or_insert(None);
        *newest = (*newest).max(agent.revision);
    }
    let entries = responses.iter().filter(|response| response.entry >= target).count();
    let up_to_date = agents.values().filter(|revision| **revision >= Some(target)).count();
    (entries + up_to_date, responses.len() + agents.len())
}
