//! `clementine-standin platform`: runs fake platform services.

use std::net::SocketAddr;
use std::rc::Rc;

use clap::{ArgMatches, Command};
use clementine_process::settings::{SettingsReader, setting};

use crate::error::StandinError;
use crate::platform::Platform;
use crate::web;

/// Name of the subcommand.
pub(crate) const NAME: &str = "platform";

const USAGE: &str = "\
Serves a table service (DynamoDB JSON format) at `/`, an object store (S3 path
style) under `/objects`, and an instance list (EndpointSliceList) at
`/instances`. `PUT /instances` replaces the list. `POST /faults` with
{\"table\": MODE, \"objects\": MODE, \"instances\": MODE} sets the fault mode of
services: up, unavailable, hang, lose-answers or slow. `GET /counts` returns
the number of calls per operation.";

#[derive(Debug)]
struct Args {
    listen: SocketAddr,
}

/// Returns the definition of the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Run a fake table service, object store and instance list")
        .long_about(USAGE)
        .arg(setting("listen", "ADDRESS", "Listen address"))
}

/// Runs the subcommand.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), StandinError> {
    let mut reader = SettingsReader::new(matches);
    let listen = reader.required("listen", SocketAddr::from(([127, 0, 0, 1], 0)));
    let args = reader.finish(Args { listen })?;
    let platform = Rc::new(Platform::default());
    web::serve(args.listen, move |req| {
        let platform = Rc::clone(&platform);
        async move { platform.handle(req).await }
    })
}
