//! `clementinectl`: command line tool for operators.

mod cmd;
mod error;
mod files;
mod server;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cmd::dispatch(&cmd::command().get_matches()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("clementinectl: {error}");
            error.exit_code()
        }
    }
}
