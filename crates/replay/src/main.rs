//! Load generator: replays request traces, checks the results against service-level
//! objectives and measures the overhead of an entry.

mod cmd;
mod error;
mod load;
mod objectives;
mod report;
mod trace;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cmd::dispatch(&cmd::command().get_matches()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("clementine-replay: {error}");
            ExitCode::from(2)
        }
    }
}
