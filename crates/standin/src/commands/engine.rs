//! `clementine-standin engine`: runs a fake model engine.

use std::net::SocketAddr;
use std::rc::Rc;

use clap::{ArgMatches, Command};
use clementine_objects::{LayerRange, Millis};
use clementine_process::settings::{SettingsReader, setting};

use crate::engine::{Engine, EngineSettings};
use crate::error::StandinError;
use crate::web;

/// Name of the subcommand.
pub(crate) const NAME: &str = "engine";

const USAGE: &str = "\
Serves the OpenAI-compatible completion endpoints, and `POST
/v1/stages/forward` for an engine that holds a range of layers. Every token is
a function of the prompt and its index, so that responses can be verified.
`GET /record` lists the completions and steps that were executed.";

#[derive(Debug)]
struct Args {
    listen: SocketAddr,
    engine: EngineSettings,
}

/// Returns the definition of the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Run a fake model engine")
        .long_about(USAGE)
        .arg(setting("listen", "ADDRESS", "Listen address"))
        .arg(setting("token-time", "DURATION", "Time to generate one token [default: 0ms]"))
        .arg(setting("layers", "FIRST-LAST", "Layers that the engine holds [default: all]"))
        .arg(setting("model-layers", "COUNT", "Number of layers of the model [default: 32]"))
        .arg(setting("crash-on", "TEXT", "Abort on a prompt that contains this text"))
}

/// Runs the subcommand.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), StandinError> {
    let mut reader = SettingsReader::new(matches);
    let listen = reader.required("listen", SocketAddr::from(([127, 0, 0, 1], 0)));
    let model_layers = reader.or("model-layers", 32_u32);
    let all_layers = LayerRange::new(0, model_layers.saturating_sub(1));
    let layers = reader.optional("layers").or(all_layers);
    reader.require(layers.is_some(), "model-layers", "must be at least 1");
    let engine = EngineSettings {
        token_time: reader.or("token-time", Millis(0)),
        layers,
        model_layers,
        crash_on: reader.optional("crash-on"),
    };
    let args = reader.finish(Args { listen, engine })?;
    let engine = Rc::new(Engine::new(args.engine));
    web::serve(args.listen, move |req| {
        let engine = Rc::clone(&engine);
        async move { engine.handle(req).await }
    })
}
