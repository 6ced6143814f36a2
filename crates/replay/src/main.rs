//! Replays recorded traces against stated outcomes and measures the path.

mod cmd;
mod error;
mod load;
mod outcomes;
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
