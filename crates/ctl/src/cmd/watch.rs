//! `clementinectl watch`.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use clementine_objects::{Millis, Revision};

use crate::error::CliError;
use crate::server::{RevisionsResponse, ServerClient};

/// Name of the command.
pub(super) const NAME: &str = "watch";

const USAGE: &str = "\
Waits until every entry given by `--server`, and every agent that they know,
reports a revision or a later one. Without `--revision`, the newest that the
servers know.

Usage:
    clementinectl --server ADDRESS... watch [--revision N] [--timeout 30s]";

/// Pause between questions.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Args {
    revision: Option<Revision>,
    timeout: Millis,
}

/// The command's flags.
pub(super) fn command() -> Command {
    let revision = Arg::new("revision")
        .long("revision")
        .value_name("N")
        .help("Revision to wait for")
        .value_parser(value_parser!(u64));
    let timeout = Arg::new("timeout")
        .long("timeout")
        .value_name("DURATION")
        .help("Longest wait")
        .default_value("30s")
        .value_parser(|text: &str| text.parse::<Millis>());
    Command::new(NAME)
        .about("Wait until a revision is in force everywhere")
        .long_about(USAGE)
        .arg(revision)
        .arg(timeout)
}

/// Runs the command.
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

fn newest(responses: &[RevisionsResponse]) -> Revision {
    responses.iter().map(|response| response.entry).max().unwrap_or_default()
}

/// Instances at the revision, and all instances; an agent that several
/// entries know counts once.
fn count_in_force(responses: &[RevisionsResponse], target: Revision) -> (usize, usize) {
    let mut agents = std::collections::BTreeMap::new();
    for agent in responses.iter().flat_map(|response| &response.agents) {
        let best = agents.entry(agent.address).or_insert(None);
        *best = (*best).max(agent.revision);
    }
    let entries = responses.iter().filter(|response| response.entry >= target).count();
    let up_to_date = agents.values().filter(|revision| **revision >= Some(target)).count();
    (entries + up_to_date, responses.len() + agents.len())
}
