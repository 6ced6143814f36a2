//! Arguments shared by several subcommands.

use std::path::PathBuf;

use clap::{Arg, ArgAction, value_parser};
use clementine_objects::ObjectKind;

/// `--file`: YAML files that contain objects.
pub(super) fn files() -> Arg {
    Arg::new("file")
        .short('f')
        .long("file")
        .value_name("FILE")
        .help("YAML file with objects; `-` reads standard input")
        .num_args(1..)
        .action(ArgAction::Append)
        .value_parser(value_parser!(PathBuf))
}

/// `KIND`: an object kind.
pub(super) fn kind() -> Arg {
    Arg::new("kind")
        .value_name("KIND")
        .help("Object kind: pool, route, model, workspace or priority")
        .required(true)
        .value_parser(|text: &str| text.parse::<ObjectKind>())
}

/// `--author`: author of a change, recorded in the history.
pub(super) fn author() -> Arg {
    Arg::new("author")
        .long("author")
        .value_name("NAME")
        .help("Author of the change, recorded in the history")
        .env("USER")
        .default_value("operator")
}

/// `--dry-run`: validates a change without publishing it.
pub(super) fn dry_run() -> Arg {
    Arg::new("dry-run")
        .long("dry-run")
        .help("Validate the change without publishing it")
        .action(ArgAction::SetTrue)
}
