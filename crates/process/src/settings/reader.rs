//! Typed access to settings, with all errors collected.

use std::fmt;
use std::str::FromStr;

use clap::{Arg, ArgMatches};
use snafu::Snafu;

/// All invalid settings of a process.
#[derive(Debug, Snafu)]
#[snafu(display("{} invalid settings:\n{}", errors.len(), errors.join("\n")))]
pub struct SettingsError {
    errors: Vec<String>,
}

/// Defines a flag `--name VALUE` that is also read from the environment
/// variable `CLEMENTINE_NAME`.
///
/// Values are parsed by [`SettingsReader`] rather than by `clap`, so that all
/// errors are reported together.
pub fn setting(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    let variable = format!("CLEMENTINE_{}", name.to_uppercase().replace('-', "_"));
    Arg::new(name).long(name).value_name(value_name).help(help).env(variable)
}

/// Parses settings into typed values and collects the errors.
#[derive(Debug)]
pub struct SettingsReader<'a> {
    matches: &'a ArgMatches,
    errors: Vec<String>,
}

impl<'a> SettingsReader<'a> {
    /// Creates a reader over parsed flags.
    pub const fn new(matches: &'a ArgMatches) -> Self {
        Self { matches, errors: Vec::new() }
    }

    /// Returns the value of a required setting. If it is missing or invalid,
    /// adds an error and returns `fallback`.
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

    /// Returns the value of a setting, or `None` if it is not set. If it is
    /// invalid, adds an error and returns `None`.
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

    /// Returns the value of a setting, or `default` if it is not set.
    pub fn or<T>(&mut self, name: &str, default: T) -> T
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        self.optional(name).unwrap_or(default)
    }

    /// Returns all values of a setting that may be repeated.
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

    /// Adds an error for a setting.
    pub fn add_error(&mut self, name: &str, message: &str) {
        self.errors.push(format!("  --{name}: {message}"));
    }

    /// Adds an error for a setting unless `condition` is true.
    pub fn require(&mut self, condition: bool, name: &str, message: &str) {
        if !condition {
            self.add_error(name, message);
        }
    }

    /// Returns `settings` if no errors were collected.
    ///
    /// # Errors
    ///
    /// Returns all collected errors.
    pub fn finish<T>(self, settings: T) -> Result<T, SettingsError> {
        if self.errors.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError { errors: self.errors })
        }
    }
}
