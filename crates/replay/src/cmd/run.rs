//! `clementine-replay run`: replays a trace.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::error::ReplayError;
use crate::load::{LoadClient, LoadRequest, open_loop};
use crate::objectives::Objectives;
use crate::report::Summary;
use crate::trace::{TraceEvent, TraceKind, read_trace};

/// Name of the subcommand.
pub(super) const NAME: &str = "run";

const USAGE: &str = "\
Replays a trace against an entry in an open loop and prints a summary as JSON.
Exits with status 1 if an objective of the --outcomes file is not met. The file is
a JSON object with the optional fields good_share, first_p95_ms, gap_p95_ms and
unknown.

Usage:
    clementine-replay run --trace FILE --target http://IP:PORT --token TOKEN [--outcomes FILE]";

/// Number of requests between two progress messages.
const PROGRESS_INTERVAL: usize = 500;

#[derive(Debug)]
struct Args {
    trace: PathBuf,
    target: String,
    token: String,
    outcomes: Option<PathBuf>,
}

/// Returns the definition of the subcommand.
pub(super) fn command() -> Command {
    let path = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("FILE").help(help).value_parser(value_parser!(PathBuf))
    };
    Command::new(NAME)
        .about("Replay a trace")
        .long_about(USAGE)
        .arg(path("trace", "Trace file to replay").required(true))
        .arg(
            Arg::new("target")
                .long("target")
                .value_name("URL")
                .help("Base URL of the entry")
                .required(true),
        )
        .arg(
            Arg::new("token")
                .long("token")
                .value_name("TOKEN")
                .help("Bearer token of a workspace")
                .required(true),
        )
        .arg(path("outcomes", "File with service-level objectives"))
}

/// Runs the subcommand.
pub(super) async fn run(matches: &ArgMatches) -> Result<ExitCode, ReplayError> {
    let args = Args {
        trace: matches.get_one("trace").cloned().unwrap_or_default(),
        target: matches.get_one("target").cloned().unwrap_or_default(),
        token: matches.get_one("token").cloned().unwrap_or_default(),
        outcomes: matches.get_one("outcomes").cloned(),
    };
    let objectives = args.outcomes.as_deref().map(Objectives::read).transpose()?;
    let events = read_trace(&args.trace)?;
    let total = events.len();
    let client = LoadClient::new(&args.target, &args.token);
    let requests = events.iter().enumerate().map(|(number, event)| {
        (Duration::from_millis(event.at_ms), event.kind, request(number, event))
    });
    let replay = open_loop(&client, requests, |sent| {
        if sent % PROGRESS_INTERVAL == 0 {
            eprintln!("{sent} of {total} requests sent");
        }
    });
    let mut by_kind: BTreeMap<TraceKind, Vec<_>> = BTreeMap::new();
    let results = replay.await;
    for (kind, measurement) in &results {
        by_kind.entry(*kind).or_default().push(measurement.clone());
    }
    let all: Vec<_> = results.into_iter().map(|(_, measurement)| measurement).collect();
    let summary = Summary::from_measurements(&all)?;
    let mut report = BTreeMap::from([("all".to_owned(), summary.clone())]);
    for (kind, measurements) in &by_kind {
        report
            .insert(format!("{kind:?}").to_lowercase(), Summary::from_measurements(measurements)?);
    }
    println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    let violations =
        objectives.map(|objectives| objectives.violations(&summary)).unwrap_or_default();
    for violation in &violations {
        eprintln!("objective not met: {violation}");
    }
    Ok(if violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

fn request(number: usize, event: &TraceEvent) -> LoadRequest {
    let idempotency_key = || format!("replay-{}-{number}", std::process::id());
    match event.kind {
        TraceKind::Chat => {
            let words = "word ".repeat(event.prompt_words as usize);
            let prompt = format!("prefix {} {words}", event.prefix);
            LoadRequest::chat(&event.target, &prompt, event.tokens, true)
        }
        TraceKind::Lookup => LoadRequest {
            method: "GET",
            path: event.target.to_string(),
            idempotency_key: None,
            body: String::new(),
        },
        TraceKind::Order => LoadRequest {
            method: "POST",
            path: event.target.to_string(),
            idempotency_key: Some(idempotency_key()),
            body: "{}".to_owned(),
        },
    }
}
