//! `clementine-entry check`: validates a settings file.

use std::error::Error;
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use clementine_platform::settings::{InstanceBounds, InstanceSettings, settings_path};

/// Name of the subcommand.
pub(crate) const NAME: &str = "check";

/// Returns the definition of the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME).about("Validate a settings file of the platform and report all errors").arg(
        Arg::new("file")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("Settings file [default: the file that `direct` reads]"),
    )
}

/// Runs the subcommand.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let path = matches.get_one::<PathBuf>("file").cloned().unwrap_or_else(settings_path);
    let settings = InstanceSettings::load(&path, &InstanceBounds::default())?;
    for warning in &settings.warnings {
        eprintln!("warning: {warning}");
    }
    println!(
        "{}: entry {} in {}, callers at {}, store at {}",
        path.display(),
        settings.entry,
        settings.domain,
        settings.listen_address,
        settings.store_address
    );
    Ok(())
}
