//! `clementine-standin service`: runs a fake HTTP service.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use clap::{ArgMatches, Command};
use clementine_objects::Millis;
use clementine_process::settings::{SettingsReader, setting};

use crate::error::StandinError;
use crate::service::{OperationService, ServiceSettings};
use crate::web;

/// Name of the subcommand.
pub(crate) const NAME: &str = "service";

const USAGE: &str = "\
Serves an HTTP service: `GET` returns a stock count, any other method executes
an operation. Each operation is appended to the record file as a JSON line
before the response is sent. A body that contains `crash-before` or
`crash-after` aborts the process before or after the operation is recorded.";

#[derive(Debug)]
struct Args {
    listen: SocketAddr,
    service: ServiceSettings,
}

/// Returns the definition of the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Run a fake service with operations that must be executed at most once")
        .long_about(USAGE)
        .arg(setting("listen", "ADDRESS", "Listen address"))
        .arg(setting("record", "FILE", "File to append executed operations to"))
        .arg(setting("answer-time", "DURATION", "Time to respond to a request [default: 0ms]"))
}

/// Runs the subcommand.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), StandinError> {
    let mut reader = SettingsReader::new(matches);
    let listen = reader.required("listen", SocketAddr::from(([127, 0, 0, 1], 0)));
    let service = ServiceSettings {
        record: reader.optional::<PathBuf>("record"),
        response_time: reader.or("answer-time", Millis(0)),
    };
    let args = reader.finish(Args { listen, service })?;
    let service = Rc::new(OperationService::open(args.service)?);
    web::serve(args.listen, move |req| {
        let service = Rc::clone(&service);
        async move { service.handle(req).await }
    })
}
