//! `clementine-replay run`.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::error::ReplayError;
use crate::load::{LoadClient, LoadRequest, open_loop};
use crate::outcomes::StatedOutcomes;
use crate::report::Summary;
use crate::trace::{TraceEvent, TraceKind, read_trace};

/// Name of the command.
pub(super) const NAME: &str = "run";

const USAGE: &str = "\
Replays a trace open-loop against an entry and prints a summary as JSON. Exits
with 1 when a stated outcome is missed. The file of stated outcomes is a JSON
object with good_share, first_p95_ms, gap_p95_ms and unknown, each optional.

Usage:
    clementine-replay run --trace FILE --target http://IP:PORT --token TOKEN [--outcomes FILE]";

/// Requests between two lines of progress.
const PROGRESS_EVERY: usize = 500;

#[derive(Debug)]
struct Args {
    trace: PathBuf,
    target: String,
    token: String,
    outcomes: Option<PathBuf>,
}

/// The command's flags.
pub(super) fn command() -> Command {
    let path = |name: &'static str| {
        Arg::new(name).long(name).value_name("FILE").value_parser(value_parser!(PathBuf))
    };
    Command::new(NAME)
        .about("Replay a trace")
        .long_about(USAGE)
        .arg(path("trace").required(true))
        .arg(Arg::new("target").long("target").value_name("URL").required(true))
        .arg(Arg::new("token").long("token").value_name("TOKEN").required(true))
        .arg(path("outcomes"))
}

/// Runs the command.
pub(super) async fn run(matches: &ArgMatches) -> Result<ExitCode, ReplayError> {
    let args = Args {
        trace: matches.get_one("trace").cloned().unwrap_or_default(),
        target: matches.get_one("target").cloned().unwrap_or_default(),
        token: matches.get_one("token").cloned().unwrap_or_default(),
        outcomes: matches.get_one("outcomes").cloned(),
    };
    let stated = args.outcomes.as_deref().map(StatedOutcomes::read).transpose()?;
    let events = read_trace(&args.trace)?;
    let total = events.len();
    let client = LoadClient::new(&args.target, &args.token);
    let requests = events.iter().enumerate().map(|(number, event)| {
        (Duration::from_millis(event.at_ms), event.kind, request(number, event))
    });
    let measured = open_loop(&client, requests, |sent| {
        if sent % PROGRESS_EVERY == 0 {
            eprintln!("{sent} of {total} requests sent");
        }
    });
    let mut by_kind: BTreeMap<TraceKind, Vec<_>> = BTreeMap::new();
    let measured = measured.await;
    for (kind, answer) in &measured {
        by_kind.entry(*kind).or_default().push(answer.clone());
    }
    let all: Vec<_> = measured.into_iter().map(|(_, answer)| answer).collect();
    let summary = Summary::of(&all)?;
    let mut report = BTreeMap::from([("all".to_owned(), summary.clone())]);
    for (kind, answers) in &by_kind {
        report.insert(format!("{kind:?}").to_lowercase(), Summary::of(answers)?);
    }
    println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    let missed = stated.map(|stated| stated.missed(&summary)).unwrap_or_default();
    for sentence in &missed {
        eprintln!("missed: {sentence}");
    }
    Ok(if missed.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

fn request(number: usize, event: &TraceEvent) -> LoadRequest {
    let key = || format!("replay-{}-{number}", std::process::id());
    match event.kind {
        TraceKind::Chat => {
            let words = "word ".repeat(event.prompt_words as usize);
            let prompt = format!("prefix {} {words}", event.prefix);
            LoadRequest::chat(&event.target, &prompt, event.tokens, true)
        }
        TraceKind::Lookup => LoadRequest {
            method: "GET",
            path: event.target.to_string(),
            key: None,
            body: String::new(),
        },
        TraceKind::Order => LoadRequest {
            method: "POST",
            path: event.target.to_string(),
            key: Some(key()),
            body: "{}".to_owned(),
        },
    }
}
