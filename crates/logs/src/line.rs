//! One line of a log.

use std::sync::Arc;

use chrono::NaiveDateTime;

/// Form of the time at the start of a line.
const TIME_FORM: &str = "%Y-%m-%d %H:%M:%S%.f";

/// One line of a log: `[TIME] [LEVEL] PART: TEXT`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// When it was written, by the clock of the instance that wrote it.
    pub timestamp: NaiveDateTime,
    /// File that it stands in.
    pub file: Arc<str>,
    /// The line without its time.
    pub text: String,
}

impl LogLine {
    /// Reads a line; none if it doesn't begin with a time. What stands before
    /// the time is passed over.
    pub fn parse(line: &str, file: &Arc<str>) -> Option<Self> {
        let (_, rest) = line.split_once('[')?;
        let (time, text) = rest.split_once(']')?;
        let timestamp = NaiveDateTime::parse_from_str(time, TIME_FORM).ok()?;
        Some(Self { timestamp, file: Arc::clone(file), text: text.trim_start().to_owned() })
    }

    /// Part of the process that wrote it, such as `fleet`.
    pub fn component(&self) -> Option<&str> {
        let after_level = self.text.split_once("] ").map_or(&*self.text, |(_, rest)| rest);
        after_level.split_once(':').map(|(part, _)| part)
    }

    /// The value of the first `name=value`.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// All `name=value` of the line.
    pub fn fields(&self) -> impl Iterator<Item = (&str, &str)> {
        let words = self.text.split_whitespace().filter_map(|word| word.split_once('='));
        words.map(|(name, value)| (name, value.trim_end_matches([',', ';', '.'])))
    }

    /// Whether the line is about a request.
    pub fn mentions_request(&self, request: &str) -> bool {
        self.fields().any(|(name, value)| matches!(name, "id" | "request") && value == request)
    }

    /// Backend servers that the line names, alone or in a path.
    pub fn backends(&self) -> impl Iterator<Item = &str> {
        self.fields().flat_map(|(name, value)| match name {
            "backend" | "says" => vec![value],
            "path" => value.split(',').filter_map(|leg| Some(leg.split_once('@')?.0)).collect(),
            _ => Vec::new(),
        })
    }
}
