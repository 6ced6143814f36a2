//! `clementine-replay path`.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use clementine_objects::Millis;
use serde::Serialize;

use crate::error::ReplayError;
use crate::load::{LoadClient, LoadRequest, closed_loop, open_loop, process_use};
use crate::report::Summary;

/// Name of the command.
pub(super) const NAME: &str = "path";

const USAGE: &str = "\
Measures what the path through an entry costs, against the same requests sent
to the backend server directly, in one run: the capacity in a closed loop, then
latency in an open loop at half of the entry's capacity. With `--pid`, the
processor time of a process for each request and token.

Usage:
    clementine-replay path --entry URL --direct URL --token TOKEN
        [--tokens N] [--whole] [--concurrency N] [--duration 5s] [--pid PID]";

#[derive(Debug)]
struct Args {
    entry: String,
    direct: String,
    token: String,
    tokens: u32,
    whole: bool,
    concurrency: usize,
    duration: Millis,
    pid: Option<u32>,
}

/// Figures of one target.
#[derive(Debug, Serialize)]
struct PathFigures {
    /// Good answers a second in the closed loop.
    capacity_per_second: f64,
    /// Processor time of the process for each request of the closed loop, in
    /// µs, and for each token.
    cpu_us_per_request: Option<f64>,
    cpu_us_per_token: Option<f64>,
    /// Good answers for each second of the process's processor time.
    requests_per_core_second: Option<f64>,
    resident_bytes: Option<u64>,
    /// Answers at half of the entry's capacity.
    half_load: Summary,
}

/// Figures of both targets and what the entry adds.
#[derive(Debug, Serialize)]
struct PathReport {
    direct: PathFigures,
    entry: PathFigures,
    added_first_p50_us: i64,
    added_first_p99_us: i64,
    added_whole_p50_us: i64,
    added_whole_p99_us: i64,
    capacity_ratio: f64,
}

/// The command's flags.
pub(super) fn command() -> Command {
    let url = |name: &'static str| Arg::new(name).long(name).value_name("URL").required(true);
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u32))
    };
    let duration = Arg::new("duration").long("duration").default_value("5s");
    Command::new(NAME)
        .about("Measure what the path costs")
        .long_about(USAGE)
        .arg(url("entry"))
        .arg(url("direct"))
        .arg(Arg::new("token").long("token").value_name("TOKEN").required(true))
        .arg(number("tokens", "16"))
        .arg(number("concurrency", "32"))
        .arg(Arg::new("whole").long("whole").action(clap::ArgAction::SetTrue))
        .arg(duration.value_parser(|text: &str| text.parse::<Millis>()))
        .arg(Arg::new("pid").long("pid").value_parser(value_parser!(u32)))
}

/// Runs the command.
pub(super) async fn run(matches: &ArgMatches) -> Result<ExitCode, ReplayError> {
    let number = |name: &str| matches.get_one::<u32>(name).copied();
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let args = Args {
        entry: text("entry"),
        direct: text("direct"),
        token: text("token"),
        tokens: number("tokens").unwrap_or(16),
        whole: matches.get_flag("whole"),
        concurrency: number("concurrency").unwrap_or(32) as usize,
        duration: matches.get_one("duration").copied().unwrap_or(Millis(5_000)),
        pid: number("pid"),
    };
    let direct_client = LoadClient::new(&args.direct, &args.token);
    let entry_client = LoadClient::new(&args.entry, &args.token);
    let direct = capacity(&args, &direct_client, None).await?;
    let entry = capacity(&args, &entry_client, args.pid).await?;
    let half = entry.capacity_per_second / 2.0;
    let direct = at_rate(&args, &direct_client, half, direct).await?;
    let entry = at_rate(&args, &entry_client, half, entry).await?;
    let added = |entry: u64, direct: u64| entry.cast_signed() - direct.cast_signed();
    let (e, d) = (&entry.half_load, &direct.half_load);
    let report = PathReport {
        added_first_p50_us: added(e.first.p50_us, d.first.p50_us),
        added_first_p99_us: added(e.first.p99_us, d.first.p99_us),
        added_whole_p50_us: added(e.whole.p50_us, d.whole.p50_us),
        added_whole_p99_us: added(e.whole.p99_us, d.whole.p99_us),
        capacity_ratio: entry.capacity_per_second / direct.capacity_per_second,
        direct,
        entry,
    };
    println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    Ok(ExitCode::SUCCESS)
}

fn request(args: &Args) -> LoadRequest {
    LoadRequest::chat("key-advisor", "Which blank fits?", args.tokens, !args.whole)
}

async fn capacity(
    args: &Args,
    client: &LoadClient,
    pid: Option<u32>,
) -> Result<PathFigures, ReplayError> {
    let before = pid.and_then(process_use);
    let started = Instant::now();
    let duration = args.duration.duration();
    let measured = closed_loop(client, args.concurrency, duration, || request(args)).await;
    let took = started.elapsed().as_secs_f64();
    let after = pid.and_then(process_use);
    let summary = Summary::of(&measured)?;
    let cpu =
        before.zip(after).map(|(before, after)| after.cpu.saturating_sub(before.cpu).as_secs_f64());
    let per = |count: u64| cpu.map(|cpu| cpu * 1e6 / count.max(1) as f64);
    Ok(PathFigures {
        capacity_per_second: summary.good as f64 / took,
        cpu_us_per_request: per(summary.good),
        cpu_us_per_token: per(summary.tokens),
        requests_per_core_second: cpu.map(|cpu| summary.good as f64 / cpu),
        resident_bytes: after.map(|after| after.resident_bytes),
        half_load: Summary::default(),
    })
}

async fn at_rate(
    args: &Args,
    client: &LoadClient,
    per_second: f64,
    figures: PathFigures,
) -> Result<PathFigures, ReplayError> {
    let count = (per_second * args.duration.duration().as_secs_f64()) as u32;
    let requests = (0..count).map(|number| {
        let at = Duration::from_secs_f64(f64::from(number) / per_second);
        (at, (), request(args))
    });
    let measured = open_loop(client, requests, |_| {}).await;
    let measured: Vec<_> = measured.into_iter().map(|((), answer)| answer).collect();
    Ok(PathFigures { half_load: Summary::of(&measured)?, ..figures })
}
