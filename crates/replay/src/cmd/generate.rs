//! `clementine-replay generate`: writes a synthetic trace.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use clementine_objects::Millis;

use crate::error::ReplayError;
use crate::trace::{LoadShape, generate, write_trace};

/// Name of the subcommand.
pub(super) const NAME: &str = "generate";

const USAGE: &str = "\
Writes a synthetic trace file with one JSON object per line. Fields: at_ms, kind
(chat, lookup, order), target, and for chats prefix, prompt_words and tokens.

Usage:
    clementine-replay generate --shape kiosk|rally --rate N --duration 60s -o FILE";

#[derive(Debug)]
struct Args {
    shape: LoadShape,
    seed: u64,
    rate: f64,
    duration: Millis,
    output: PathBuf,
}

/// Returns the definition of the subcommand.
pub(super) fn command() -> Command {
    let shape = Arg::new("shape")
        .long("shape")
        .value_name("SHAPE")
        .help("Load shape: kiosk or rally")
        .required(true);
    let seed = Arg::new("seed")
        .long("seed")
        .value_name("N")
        .help("Seed of the random number generator")
        .default_value("1")
        .value_parser(value_parser!(u64));
    let rate = Arg::new("rate")
        .long("rate")
        .value_name("N")
        .help("Mean number of requests per second")
        .required(true);
    let duration = Arg::new("duration")
        .long("duration")
        .value_name("DURATION")
        .help("Duration of the trace")
        .default_value("60s");
    let output = Arg::new("output")
        .short('o')
        .long("output")
        .value_name("FILE")
        .help("Trace file to write")
        .required(true);
    Command::new(NAME)
        .about("Write a synthetic trace")
        .long_about(USAGE)
        .arg(shape.value_parser(|text: &str| text.parse::<LoadShape>()))
        .arg(seed)
        .arg(rate.value_parser(value_parser!(f64)))
        .arg(duration.value_parser(|text: &str| text.parse::<Millis>()))
        .arg(output.value_parser(value_parser!(PathBuf)))
}

/// Runs the subcommand.
pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, ReplayError> {
    let args = Args {
        shape: matches.get_one("shape").copied().unwrap_or(LoadShape::Kiosk),
        seed: matches.get_one("seed").copied().unwrap_or(1),
        rate: matches.get_one("rate").copied().unwrap_or(1.0),
        duration: matches.get_one("duration").copied().unwrap_or_default(),
        output: matches.get_one("output").cloned().unwrap_or_default(),
    };
    let events = generate(args.shape, args.seed, args.rate, args.duration.0);
    write_trace(&args.output, &events)?;
    println!("{} requests", events.len());
    Ok(ExitCode::SUCCESS)
}
