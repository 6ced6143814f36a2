//! Reads settings and collects their errors.

use std::fmt;
use std::str::FromStr;

use clap::{Arg, ArgMatches};
use snafu::Snafu;

/// All errors of a process's settings.
#[derive(Debug, Snafu)]
#[snafu(display("{} of the settings can't be used:\n{}", errors.len(), errors.join("\n")))]
pub struct SettingsError {
    errors: Vec<String>,
}

/// A flag `--name VALUE` that is also read from `CLEMENTINE_NAME`.
///
/// Values are checked by [`SettingsReader`], so that all errors are reported
/// at once.
pub fn setting(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    let variable = format!("CLEMENTINE_{}", name.to_uppercase().replace('-', "_"));
    Arg::new(name).long(name).value_name(value_name).help(help).env(variable)
}

/// Reads typed settings from parsed flags.
#[derive(Debug)]
pub struct SettingsReader<'a> {
    matches: &'a ArgMatches,
    errors: Vec<String>,
}

impl<'a> SettingsReader<'a> {
    /// A reader of parsed flags.
    pub const fn new(matches: &'a ArgMatches) -> Self {
        Self { matches, errors: Vec::new() }
    }

    /// The value of a setting that must be given; a fault otherwise.
    pub fn required<T>(&mut self, name: &str, fallback: T) -> T
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let value = self.optional(name);
        if value.is_none() && self.matches.get_one::<String>(name).is_none() {
            self.add_error(name, "is required");
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
                self.add_error(name, &format!("`{text}`: {error}"));
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
    pub fn repeated<T>(&mut self, name: &str) -> Vec<T>
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
                Err(error) => self.add_error(name, &format!("`{text}`: {error}")),
            }
        }
        values
    }

    /// Notes a fault of a setting.
    pub fn add_error(&mut self, name: &str, message: &str) {
        self.errors.push(format!("  --{name}: {message}"));
    }

    /// Notes a fault of a setting unless a condition holds.
    pub fn require(&mut self, condition: bool, name: &str, message: &str) {
        if !condition {
            self.add_error(name, message);
        }
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// Returns all errors that were noted.
    pub fn finish<T>(self, settings: T) -> Result<T, SettingsError> {
        if self.errors.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError { errors: self.errors })
        }
    }
}
