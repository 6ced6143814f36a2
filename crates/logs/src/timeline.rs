//! The log lines that explain what happened to one request.

use std::collections::BTreeSet;
use std::fmt;

use chrono::{NaiveDateTime, TimeDelta};

use crate::LogLine;

/// How long before the first line of a request a state change of a backend
/// server is still relevant to it.
const WINDOW_BEFORE: TimeDelta = TimeDelta::seconds(10);
/// How long after the last line of a request its cause may still be logged.
const WINDOW_AFTER: TimeDelta = TimeDelta::seconds(1);
/// Maximum distance in time between a refusal for lack of capacity and a
/// `paths` line of another request that is taken to explain it. Such lines
/// are limited to one per 500 ms, so the refused request may have none of its own.
const CAPACITY_WINDOW: TimeDelta = TimeDelta::milliseconds(600);
/// Components whose lines concern all requests of a process.
const PROCESS_COMPONENTS: [&str; 4] = ["config", "store", "settings", "process"];
/// Components whose lines concern only the backend servers that they mention.
const BACKEND_COMPONENTS: [&str; 3] = ["fleet", "engines", "planner"];

/// A log line in the timeline of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimelineEntry {
    /// The log line.
    pub line: LogLine,
    /// Whether the line mentions the request itself.
    pub mentions_request: bool,
}

/// Log lines that concern one request, ordered by time.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestTimeline {
    /// Invariant: contains at least one line that mentions the request.
    entries: Vec<TimelineEntry>,
}

impl RequestTimeline {
    /// Selects the lines that concern a request; returns `None` if no line
    /// mentions it.
    pub fn from_lines(request: &str, lines: &[LogLine]) -> Option<Self> {
        let request_lines: Vec<&LogLine> =
            lines.iter().filter(|line| line.mentions_request(request)).collect();
        let first = request_lines.iter().map(|line| line.timestamp).min()?;
        let last = request_lines.iter().map(|line| line.timestamp).max()?;
        let backends: BTreeSet<&str> =
            request_lines.iter().flat_map(|line| line.backends()).collect();
        let refusal =
            request_lines.iter().rev().find(|line| line.field("outcome") == Some("overloaded"));
        let refused_at = refusal.map(|line| line.timestamp);
        let context = RequestContext { first, last, backends, refused_at };
        let mut entries: Vec<TimelineEntry> = lines
            .iter()
            .filter_map(|line| {
                let mentions_request = line.mentions_request(request);
                (mentions_request || context.includes(line))
                    .then(|| TimelineEntry { line: line.clone(), mentions_request })
            })
            .collect();
        entries.sort_by_key(|entry| entry.line.timestamp);
        Some(Self { entries })
    }

    /// Returns the entries, ordered by time.
    pub fn entries(&self) -> &[TimelineEntry] {
        &self.entries
    }
}

/// Criteria for lines that concern a request without mentioning it.
struct RequestContext<'a> {
    /// Time of the first line that mentions the request.
    first: NaiveDateTime,
    /// Time of the last line that mentions the request.
    last: NaiveDateTime,
    /// Backend servers that the request's lines mention.
    backends: BTreeSet<&'a str>,
    /// When the request was refused for lack of capacity, if it was.
    refused_at: Option<NaiveDateTime>,
}

impl RequestContext<'_> {
    fn includes(&self, line: &LogLine) -> bool {
        if line.timestamp < self.first - WINDOW_BEFORE || line.timestamp > self.last + WINDOW_AFTER
        {
            return false;
        }
        let Some(component) = line.component() else { return false };
        let mentions_backend = || line.backends().any(|id| self.backends.contains(id));
        PROCESS_COMPONENTS.contains(&component)
            || (BACKEND_COMPONENTS.contains(&component) && mentions_backend())
            || (component == "paths" && self.is_near_refusal(line))
    }

    fn is_near_refusal(&self, line: &LogLine) -> bool {
        self.refused_at.is_some_and(|at| (line.timestamp - at).abs() <= CAPACITY_WINDOW)
    }
}

impl fmt::Display for RequestTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for TimelineEntry { line, mentions_request } in &self.entries {
            let mark = if *mentions_request { '*' } else { ' ' };
            let time = line.timestamp.format("%H:%M:%S%.3f");
            writeln!(f, "{time} {mark} {}: {}", line.file, line.text)?;
        }
        Ok(())
    }
}
