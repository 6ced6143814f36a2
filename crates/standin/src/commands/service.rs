//! `clementine-standin service`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use clap::{ArgMatches, Command};
use clementine_objects::Millis;
use clementine_process::settings::{SettingsReader, setting};

use crate::error::StandinError;
use crate::service::{OperationService, ServiceSettings};
use crate::web;

/// Name of the command.
pub(crate) const NAME: &str = "service";

const USAGE: &str = "\
Serves a plain service: `GET` looks stock up, any other method runs an
operation and records it. Each operation is appended to the record file as a
JSON line before it is answered. A body that holds `crash-before` or
`crash-after` aborts the process before or after the operation is recorded.";

#[derive(Debug)]
struct Args {
    listen: SocketAddr,
    service: ServiceSettings,
}

/// The command's flags.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Plain service with operations that may run once only")
        .long_about(USAGE)
        .arg(setting("listen", "ADDRESS", "Address to listen on"))
        .arg(setting("record", "FILE", "File to which operations are appended"))
        .arg(setting("answer-time", "DURATION", "Time of one answer [default: 0ms]"))
}

/// Runs the command.
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
