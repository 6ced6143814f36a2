//! The agent process: a proxy through which all requests to its backend server
//! pass.

mod backend;
mod responses;
mod run;
mod service;
mod settings;
mod shared;
mod stages;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = settings::command().get_matches();
    match settings::AgentSettings::read(&matches).map_err(Into::into).and_then(run::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("clementine-agent: {error}");
            ExitCode::FAILURE
        }
    }
}
