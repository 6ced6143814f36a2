//! `clementinectl completions`: prints a shell completion script.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

/// Name of the subcommand.
pub(super) const NAME: &str = "completions";

const USAGE: &str = "\
Prints a shell completion script.

Usage:
    clementinectl completions bash|zsh|fish|elvish|powershell";

/// Returns the definition of the subcommand.
pub(super) fn command() -> Command {
    let shell = Arg::new("shell")
        .value_name("SHELL")
        .help("Shell to print the script for")
        .required(true)
        .value_parser(value_parser!(Shell));
    Command::new(NAME).about("Print a shell completion script").long_about(USAGE).arg(shell)
}

/// Runs the subcommand.
pub(super) fn run(matches: &ArgMatches) -> ExitCode {
    if let Some(shell) = matches.get_one::<Shell>("shell").copied() {
        let mut command = super::command();
        clap_complete::generate(shell, &mut command, "clementinectl", &mut std::io::stdout());
    }
    ExitCode::SUCCESS
}
