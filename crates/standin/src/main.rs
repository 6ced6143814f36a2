//! Fake backend servers and platform services for tests and benchmarks of
//! clementinehub.

mod commands;
mod engine;
mod error;
mod platform;
mod service;
mod web;

use std::process::ExitCode;

use clap::Command;

fn main() -> ExitCode {
    let command = Command::new("clementine-standin")
        .about("Run fake backend servers and platform services for tests and benchmarks")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(commands::platform::command())
        .subcommand(commands::engine::command())
        .subcommand(commands::service::command());
    let matches = command.get_matches();
    let result = match matches.subcommand() {
        Some((commands::platform::NAME, args)) => commands::platform::run(args),
        Some((commands::engine::NAME, args)) => commands::engine::run(args),
        Some((commands::service::NAME, args)) => commands::service::run(args),
        _ => Ok(()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("clementine-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
