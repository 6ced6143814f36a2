//! Parsing of a single log line.

use std::sync::Arc;

use chrono::NaiveDateTime;

/// Format of the timestamp at the start of a line.
const TIMESTAMP_FORMAT: &str = "%Y-%m-%d %H:%M:%S%.f";

/// A log line of the form `[TIME] [LEVEL] COMPONENT: MESSAGE`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Time of writing, by the clock of the instance that wrote the line.
    pub timestamp: NaiveDateTime,
    /// Name of the log file.
    pub file: Arc<str>,
    /// The line without its timestamp.
    pub text: String,
}

impl LogLine {
    /// Parses a line; returns `None` if it has no valid timestamp. Anything
    /// before the timestamp, such as a host name, is ignored.
    pub fn parse(line: &str, file: &Arc<str>) -> Option<Self> {
        let (_, rest) = line.split_once('[')?;
        let (time, text) = rest.split_once(']')?;
        let timestamp = NaiveDateTime::parse_from_str(time, TIMESTAMP_FORMAT).ok()?;
        Some(Self { timestamp, file: Arc::clone(file), text: text.trim_start().to_owned() })
    }

    /// Returns the component of the process that wrote the line, such as `fleet`.
    pub fn component(&self) -> Option<&str> {
        let after_level = self.text.split_once("] ").map_or(&*self.text, |(_, rest)| rest);
        after_level.split_once(':').map(|(component, _)| component)
    }

    /// Returns the value of the first `key=value` field with this key.
    pub fn field(&self, key: &str) -> Option<&str> {
        self.fields().find(|(name, _)| *name == key).map(|(_, value)| value)
    }

    /// Returns all `key=value` fields of the line, without punctuation after the
    /// value.
    pub fn fields(&self) -> impl Iterator<Item = (&str, &str)> {
        let fields = self.text.split_whitespace().filter_map(|word| word.split_once('='));
        fields.map(|(key, value)| (key, value.trim_end_matches([',', ';', '.'])))
    }

    /// Returns whether the line has the id of this request in one of its fields.
    pub fn mentions_request(&self, id: &str) -> bool {
        self.fields().any(|(key, value)| matches!(key, "id" | "request") && value == id)
    }

    /// Ids of the backend servers in the line's fields, including those in
    /// paths (`ENGINE@DOMAIN:FIRST-LAST,..`).
    pub fn backends(&self) -> impl Iterator<Item = &str> {
        self.fields().flat_map(|(key, value)| match key {
            "backend" | "says" => vec![value],
            "path" => value.split(',').filter_map(|stage| Some(stage.split_once('@')?.0)).collect(),
            _ => Vec::new(),
        })
    }
}
