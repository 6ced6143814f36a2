//! `clementinectl get`: shows the objects of the current configuration.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use clementine_objects::{Object, ObjectKind};

use super::args;
use crate::error::CliError;
use crate::server::ServerClient;

/// Name of the subcommand.
pub(super) const NAME: &str = "get";

const USAGE: &str = "\
Shows the objects of the current configuration.

Usage:
    clementinectl get KIND [NAME] [-o table|yaml|json]";

#[derive(Debug)]
struct Args {
    kind: ObjectKind,
    name: Option<String>,
    output: String,
}

/// Returns the definition of the subcommand.
pub(super) fn command() -> Command {
    let output = Arg::new("output")
        .short('o')
        .long("output")
        .value_name("FORMAT")
        .help("Output format")
        .value_parser(["table", "yaml", "json"])
        .default_value("table");
    Command::new(NAME)
        .about("Show configured objects")
        .long_about(USAGE)
        .arg(args::kind())
        .arg(Arg::new("name").value_name("NAME").help("Name of a single object"))
        .arg(output)
}

/// Runs the subcommand.
pub(super) async fn run(client: &ServerClient, matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let args = Args {
        kind: matches.get_one("kind").copied().unwrap_or(ObjectKind::Pool),
        name: matches.get_one("name").cloned(),
        output: matches.get_one("output").cloned().unwrap_or_default(),
    };
    let catalog = client.objects().await?.catalog();
    let objects: Vec<Object> = match &args.name {
        None => catalog.objects().into_iter().filter(|o| o.kind() == args.kind).collect(),
        Some(name) => {
            let object = format!("{} `{name}`", args.kind);
            vec![catalog.object(args.kind, name).ok_or(CliError::NotFound { object })?]
        }
    };
    match args.output.as_str() {
        "yaml" => print_yaml(&objects)?,
        "json" => println!("{}", json(&objects)?),
        _ => print_table(&objects)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn print_yaml(objects: &[Object]) -> Result<(), CliError> {
    for object in objects {
        let text = serde_yaml_ng::to_string(object);
        print!(
            "---\n{}",
            text.map_err(|error| CliError::Serialize { message: error.to_string() })?
        );
    }
    Ok(())
}

fn json(value: &impl serde::Serialize) -> Result<String, CliError> {
    let text = serde_json::to_string_pretty(value);
    text.map_err(|error| CliError::Serialize { message: error.to_string() })
}

/// Prints one line per object: its name, then its other fields.
fn print_table(objects: &[Object]) -> Result<(), CliError> {
    let width = objects.iter().map(|object| object.name().len()).max().unwrap_or(0);
    for object in objects {
        let value = serde_json::to_value(object);
        let value = value.map_err(|error| CliError::Serialize { message: error.to_string() })?;
        let fields = value.as_object().into_iter().flatten();
        let fields = fields.filter(|(field, _)| *field != "kind" && *field != "name");
        let columns: Vec<_> = fields.map(|(field, value)| format!("{field}={value}")).collect();
        println!("{:width$}  {}", object.name(), columns.join(" "));
    }
    Ok(())
}
