//! Reads settings and collects their faults.

use std::fmt;
use std::str::FromStr;

use clap::{Arg, ArgMatches};
use snafu::Snafu;

/// All faults of a process's settings.
#[derive(Debug, Snafu)]
#[snafu(display("{} of the settings can't be used:\n{}", faults.len(), faults.join("\n")))]
pub struct SettingFaults {
    faults: Vec<String>,
}

/// A flag `--name VALUE` that is also read from `CLEMENTINE_NAME`.
///
/// Values are checked by [`SettingsReader`], so that all faults are reported
/// at once.
pub fn setting(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    let variable = format!("CLEMENTINE_{}", name.to_uppercase().replace('-', "_"));
    Arg::new(name).long(name).value_name(value_name).help(help).env(variable)
}

/// Reads typed settings from parsed flags.
#[derive(Debug)]
pub struct SettingsReader<'a> {
    matches: &'a ArgMatches,
    faults: Vec<String>,
}

impl<'a> SettingsReader<'a> {
    /// A reader of parsed flags.
    pub const fn new(matches: &'a ArgMatches) -> Self {
        Self { matches, faults: Vec::new() }
    }

    /// The value of a setting that must be given; a fault otherwise.
    pub fn required<T>(&mut self, name: &str, fallback: T) -> T
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let value = self.optional(name);
        if value.is_none() && self.matches.get_one::<String>(name).is_none() {
            self.fault(name, "is required");
        }
        value.unwrap_or(fallback)
    }

    /// The value of a setting, if it was given.
    pub fn optional<T>(&mut self, name: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let text = self.matches.get_one::<String>(name)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(name, &format!("`{text}`: {error}"));
                None
            }
        }
    }

    /// The value of a setting that has a default.
    pub fn or<T>(&mut self, name: &str, default: T) -> T
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        self.optional(name).unwrap_or(default)
    }

    /// The values of a setting that may be repeated.
    pub fn many<T>(&mut self, name: &str) -> Vec<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let texts: Vec<String> =
            self.matches.get_many::<String>(name).into_iter().flatten().cloned().collect();
        let mut values = Vec::new();
        for text in texts {
            match text.parse() {
                Ok(value) => values.push(value),
                Err(error) => self.fault(name, &format!("`{text}`: {error}")),
            }
        }
        values
    }

    /// Notes a fault of a setting.
    pub fn fault(&mut self, name: &str, message: &str) {
        self.faults.push(format!("  --{name}: {message}"));
    }

    /// Notes a fault of a setting unless a condition holds.
    pub fn require(&mut self, holds: bool, name: &str, message: &str) {
        if !holds {
            self.fault(name, message);
        }
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// Returns all faults that were noted.
    pub fn finish<T>(self, settings: T) -> Result<T, SettingFaults> {
        if self.faults.is_empty() {
            Ok(settings)
        } else {
            Err(SettingFaults { faults: self.faults })
        }
    }
}
