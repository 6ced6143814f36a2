//! Flags that several commands share.

use std::path::PathBuf;

use clap::{Arg, ArgAction, value_parser};
use clementine_objects::ObjectKind;

/// YAML files with objects.
pub(super) fn files() -> Arg {
    Arg::new("file")
        .short('f')
        .long("file")
        .value_name("FILE")
        .help("YAML file, `-` for standard input")
        .num_args(1..)
        .action(ArgAction::Append)
        .value_parser(value_parser!(PathBuf))
}

/// The kind of the objects in question.
pub(super) fn kind() -> Arg {
    Arg::new("kind")
        .value_name("KIND")
        .help("pool, route, model, workspace or priority")
        .required(true)
        .value_parser(|text: &str| text.parse::<ObjectKind>())
}

/// The author of a change.
pub(super) fn author() -> Arg {
    Arg::new("author")
        .long("author")
        .value_name("NAME")
        .help("Who makes the change")
        .env("USER")
        .default_value("operator")
}

/// Whether a change is checked only.
pub(super) fn dry_run() -> Arg {
    Arg::new("dry-run")
        .long("dry-run")
        .help("Check the change and publish nothing")
        .action(ArgAction::SetTrue)
}
