//! `clementine-replay path`: measures the overhead of an entry.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use clementine_objects::Millis;
use serde::Serialize;

use crate::error::ReplayError;
use crate::load::{LoadClient, LoadRequest, closed_loop, open_loop, process_usage};
use crate::report::Summary;

/// Name of the subcommand.
pub(super) const NAME: &str = "path";

const USAGE: &str = "\
Measures the overhead of an entry by sending the same requests through the entry
and directly to the backend server: first the throughput in a closed loop, then
the latency in an open loop at half of the entry's throughput. With `--pid`, also
reports the CPU time of that process per request and per token.

Usage:
    clementine-replay path --entry URL --direct URL --token TOKEN
        [--tokens N] [--whole] [--concurrency N] [--duration 5s] [--pid PID]";

#[derive(Debug)]
struct Args {
    entry: String,
    direct: String,
    token: String,
    tokens: u32,
    non_streaming: bool,
    concurrency: usize,
    duration: Millis,
    pid: Option<u32>,
}

/// Measured performance of one target. Field names are keys of the JSON report.
#[derive(Debug, Serialize)]
struct TargetMetrics {
    /// Successful requests per second in the closed loop.
    capacity_per_second: f64,
    /// CPU time of the process per successful request of the closed loop, in µs.
    cpu_us_per_request: Option<f64>,
    /// CPU time of the process per token of the closed loop, in µs.
    cpu_us_per_token: Option<f64>,
    /// Successful requests per second of the process's CPU time.
    requests_per_core_second: Option<f64>,
    /// Resident set size of the process after the closed loop.
    resident_bytes: Option<u64>,
    /// Results of the open loop at half of the entry's throughput.
    half_load: Summary,
}

/// Metrics of both targets, and the difference that the entry makes: added latency
/// in µs and the ratio of the throughputs.
#[derive(Debug, Serialize)]
struct OverheadReport {
    direct: TargetMetrics,
    entry: TargetMetrics,
    added_first_p50_us: i64,
    added_first_p99_us: i64,
    added_whole_p50_us: i64,
    added_whole_p99_us: i64,
    capacity_ratio: f64,
}

/// Returns the definition of the subcommand.
pub(super) fn command() -> Command {
    let url = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("URL").help(help).required(true)
    };
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .help(help)
            .default_value(default)
            .value_parser(value_parser!(u32))
    };
    let duration = Arg::new("duration")
        .long("duration")
        .value_name("DURATION")
        .help("Duration of each measurement")
        .default_value("5s");
    Command::new(NAME)
        .about("Measure the overhead of an entry")
        .long_about(USAGE)
        .arg(url("entry", "Base URL of the entry"))
        .arg(url("direct", "Base URL of the backend server"))
        .arg(
            Arg::new("token")
                .long("token")
                .value_name("TOKEN")
                .help("Bearer token of a workspace")
                .required(true),
        )
        .arg(number("tokens", "16", "Number of tokens per response"))
        .arg(number("concurrency", "32", "Number of concurrent requests in the closed loop"))
        .arg(
            Arg::new("whole")
                .long("whole")
                .help("Request responses that are not streamed")
                .action(clap::ArgAction::SetTrue),
        )
        .arg(duration.value_parser(|text: &str| text.parse::<Millis>()))
        .arg(
            Arg::new("pid")
                .long("pid")
                .value_name("PID")
                .help("Process whose CPU time and memory are reported")
                .value_parser(value_parser!(u32)),
        )
}

/// Runs the subcommand.
pub(super) async fn run(matches: &ArgMatches) -> Result<ExitCode, ReplayError> {
    let number = |name: &str| matches.get_one::<u32>(name).copied();
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let args = Args {
        entry: text("entry"),
        direct: text("direct"),
        token: text("token"),
        tokens: number("tokens").unwrap_or(16),
        non_streaming: matches.get_flag("whole"),
        concurrency: number("concurrency").unwrap_or(32) as usize,
        duration: matches.get_one("duration").copied().unwrap_or(Millis(5_000)),
        pid: number("pid"),
    };
    let direct_client = LoadClient::new(&args.direct, &args.token);
    let entry_client = LoadClient::new(&args.entry, &args.token);
    let direct = measure_throughput(&args, &direct_client, None).await?;
    let entry = measure_throughput(&args, &entry_client, args.pid).await?;
    let half_rate = entry.capacity_per_second / 2.0;
    let direct = measure_latency(&args, &direct_client, half_rate, direct).await?;
    let entry = measure_latency(&args, &entry_client, half_rate, entry).await?;
    let added = |entry: u64, direct: u64| entry.cast_signed() - direct.cast_signed();
    let (e, d) = (&entry.half_load, &direct.half_load);
    let report = OverheadReport {
        added_first_p50_us: added(e.time_to_first_byte.p50_us, d.time_to_first_byte.p50_us),
        added_first_p99_us: added(e.time_to_first_byte.p99_us, d.time_to_first_byte.p99_us),
        added_whole_p50_us: added(e.total_time.p50_us, d.total_time.p50_us),
        added_whole_p99_us: added(e.total_time.p99_us, d.total_time.p99_us),
        capacity_ratio: entry.capacity_per_second / direct.capacity_per_second,
        direct,
        entry,
    };
    println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    Ok(ExitCode::SUCCESS)
}

fn request(args: &Args) -> LoadRequest {
    LoadRequest::chat("key-advisor", "Which blank fits?", args.tokens, !args.non_streaming)
}

/// Runs the closed loop and measures throughput and, with a process id, resource
/// usage. `half_load` stays empty.
async fn measure_throughput(
    args: &Args,
    client: &LoadClient,
    pid: Option<u32>,
) -> Result<TargetMetrics, ReplayError> {
    let before = pid.and_then(process_usage);
    let started = Instant::now();
    let duration = args.duration.duration();
    let measurements = closed_loop(client, args.concurrency, duration, || request(args)).await;
    let elapsed = started.elapsed().as_secs_f64();
    let after = pid.and_then(process_usage);
    let summary = Summary::from_measurements(&measurements)?;
    let cpu =
        before.zip(after).map(|(before, after)| after.cpu.saturating_sub(before.cpu).as_secs_f64());
    let cpu_us_per = |count: u64| cpu.map(|cpu| cpu * 1e6 / count.max(1) as f64);
    Ok(TargetMetrics {
        capacity_per_second: summary.successful as f64 / elapsed,
        cpu_us_per_request: cpu_us_per(summary.successful),
        cpu_us_per_token: cpu_us_per(summary.tokens),
        requests_per_core_second: cpu.map(|cpu| summary.successful as f64 / cpu),
        resident_bytes: after.map(|after| after.resident_bytes),
        half_load: Summary::default(),
    })
}

/// Runs the open loop at a fixed rate and sets `half_load` to its results.
async fn measure_latency(
    args: &Args,
    client: &LoadClient,
    requests_per_second: f64,
    metrics: TargetMetrics,
) -> Result<TargetMetrics, ReplayError> {
    let count = (requests_per_second * args.duration.duration().as_secs_f64()) as u32;
    let requests = (0..count).map(|number| {
        let at = Duration::from_secs_f64(f64::from(number) / requests_per_second);
        (at, (), request(args))
    });
    let measurements = open_loop(client, requests, |_| {}).await;
    let measurements: Vec<_> =
        measurements.into_iter().map(|((), measurement)| measurement).collect();
    Ok(TargetMetrics { half_load: Summary::from_measurements(&measurements)?, ..metrics })
}
