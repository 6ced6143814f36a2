//! `clementine-entry completions`: prints a shell completion script.

use std::io;

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::{Shell, generate};

/// Name of the subcommand.
pub(crate) const NAME: &str = "completions";

/// Returns the definition of the subcommand.
pub(crate) fn command() -> Command {
    let shell = Arg::new("shell")
        .value_name("SHELL")
        .help("Shell to print the script for")
        .required(true)
        .value_parser(value_parser!(Shell));
    Command::new(NAME).about("Print a shell completion script").arg(shell)
}

/// Prints the completion script for `cli`, the complete command line.
pub(crate) fn run(matches: &ArgMatches, mut cli: Command) {
    if let Some(shell) = matches.get_one::<Shell>("shell").copied() {
        generate(shell, &mut cli, "clementine-entry", &mut io::stdout());
    }
}
