//! `clementinectl watch`.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use clementine_objects::{Millis, Revision};

use crate::error::CliError;
use crate::server::{Revisions, ServerClient};

/// Name of the command.
pub(super) const NAME: &str = "watch";

const USAGE: &str = "\
Waits until every entry given by `--server`, and every agent that they know,
reports a revision or a later one. Without `--revision`, the newest that the
servers know.

Usage:
    clementinectl --server ADDRESS... watch [--revision N] [--timeout 30s]";

/// Pause between questions.
const PAUSE: Duration = Duration::from_millis(100);

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
    let mut wanted = args.revision;
    let mut reported = None;
    loop {
        let known = client.revisions().await?;
        let target = *wanted.get_or_insert_with(|| newest(&known));
        let (in_force, total) = progress(&known, target);
        if reported.replace(in_force) != Some(in_force) {
            println!("revision {target}: in force at {in_force} of {total} instances");
        }
        if in_force == total {
            return Ok(ExitCode::SUCCESS);
        }
        if started.elapsed() >= args.timeout.duration() {
            return Err(CliError::Behind { behind: total - in_force });
        }
        actix_rt::time::sleep(PAUSE).await;
    }
}

fn newest(known: &[Revisions]) -> Revision {
    known.iter().map(|revisions| revisions.entry).max().unwrap_or_default()
}

/// Instances at the revision, and all instances; an agent that several
/// entries know counts once.
fn progress(known: &[Revisions], target: Revision) -> (usize, usize) {
    let mut agents = std::collections::BTreeMap::new();
    for agent in known.iter().flat_map(|revisions| &revisions.agents) {
        let best = agents.entry(agent.address).or_insert(None);
        *best = (*best).max(agent.revision);
    }
    let entries = known.iter().filter(|revisions| revisions.entry >= target).count();
    let up_to_date = agents.values().filter(|revision| **revision >= Some(target)).count();
    (entries + up_to_date, known.len() + agents.len())
}
