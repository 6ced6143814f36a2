//! The entry: callers' HTTP, the administration API, routing, retries and
//! claims.

mod admin;
mod callers;
mod config;
mod entry;
mod fleet;
mod model;
mod once;
mod run;
mod settings;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = settings::command().get_matches();
    match settings::EntrySettings::read(&matches).map_err(Into::into).and_then(run::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("clementine-entry: {error}");
            ExitCode::FAILURE
        }
    }
}
