//! `clementine-entry explain`: traces a request through log files.

use std::error::Error;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::PathBuf;
use std::sync::Arc;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clementine_logs::{LogLine, RequestTimeline};

/// Name of the subcommand.
pub(crate) const NAME: &str = "explain";

/// Returns the definition of the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Trace a request through log files")
        .long_about(
            "Prints the log lines of a request (marked with *), and those logged meanwhile about \
             the backend servers it used, the configuration and the store. Fails if no line \
             contains the request's id.",
        )
        .arg(Arg::new("id").value_name("ID").required(true).help("Id of the request"))
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .action(ArgAction::Append)
                .num_args(0..)
                .value_parser(value_parser!(PathBuf))
                .help("Log files of one or more entries [default: standard input]"),
        )
}

/// Runs the subcommand.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let id = matches.get_one::<String>("id").map_or("", String::as_str);
    let files: Vec<&PathBuf> = matches.get_many("files").unwrap_or_default().collect();
    let mut lines = Vec::new();
    if files.is_empty() {
        read(&mut lines, io::stdin(), "-")?;
    }
    for path in files {
        let file = File::open(path).map_err(|error| format!("{}: {error}", path.display()))?;
        read(&mut lines, file, &path.to_string_lossy())?;
    }
    let timeline = RequestTimeline::from_lines(id, &lines)
        .ok_or_else(|| format!("no line names request {id}"))?;
    print!("{timeline}");
    Ok(())
}

/// Reads the lines that begin with a timestamp. Other lines, such as a panic
/// message, are skipped, and invalid UTF-8 is replaced.
fn read(lines: &mut Vec<LogLine>, input: impl Read, name: &str) -> io::Result<()> {
    let name: Arc<str> = name.into();
    for line in BufReader::new(input).split(b'\n') {
        let line = line?;
        lines.extend(LogLine::parse(&String::from_utf8_lossy(&line), &name));
    }
    Ok(())
}
