//! What the logs tell of one request.

use std::collections::BTreeSet;
use std::fmt;

use chrono::{NaiveDateTime, TimeDelta};

use crate::LogLine;

/// Time before a request's first line in which a change of a backend server
/// still matters to it.
const BEFORE: TimeDelta = TimeDelta::seconds(10);
/// Time after its last line in which the cause may still be logged.
const AFTER: TimeDelta = TimeDelta::seconds(1);
/// Time around a refusal in which a line on what bound another request tells
/// of this one, too: such lines are left out when there are many.
const SAME_SHORTAGE: TimeDelta = TimeDelta::milliseconds(600);
/// Parts whose lines concern all requests of the process.
const COMMON_PARTS: [&str; 4] = ["config", "store", "settings", "process"];
/// Parts whose lines concern the backend servers that they name.
const BACKEND_PARTS: [&str; 3] = ["fleet", "engines", "planner"];

/// A line of a story.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimelineEntry {
    /// The line.
    pub line: LogLine,
    /// Whether it names the request itself.
    pub mentions_request: bool,
}

/// What the logs tell of one request, in order of time.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestTimeline {
    /// Invariant: holds at least one line of the request's own.
    lines: Vec<TimelineEntry>,
}

impl RequestTimeline {
    /// Follows a request through log lines; none if no line names it.
    pub fn from_lines(request: &str, lines: &[LogLine]) -> Option<Self> {
        let own: Vec<&LogLine> =
            lines.iter().filter(|line| line.mentions_request(request)).collect();
        let first = own.iter().map(|line| line.timestamp).min()?;
        let last = own.iter().map(|line| line.timestamp).max()?;
        let backends: BTreeSet<&str> = own.iter().flat_map(|line| line.backends()).collect();
        let refused = own.iter().rev().find(|line| line.field("outcome") == Some("overloaded"));
        let frame = Frame { first, last, backends, refused_at: refused.map(|line| line.timestamp) };
        let mut told: Vec<TimelineEntry> = lines
            .iter()
            .filter_map(|line| {
                let mentions_request = line.mentions_request(request);
                (mentions_request || frame.holds(line))
                    .then(|| TimelineEntry { line: line.clone(), mentions_request })
            })
            .collect();
        told.sort_by_key(|told| told.line.timestamp);
        Some(Self { lines: told })
    }

    /// The lines in order of time.
    pub fn entries(&self) -> &[TimelineEntry] {
        &self.lines
    }
}

/// What surrounds a request.
struct Frame<'a> {
    first: NaiveDateTime,
    last: NaiveDateTime,
    backends: BTreeSet<&'a str>,
    refused_at: Option<NaiveDateTime>,
}

impl Frame<'_> {
    fn holds(&self, line: &LogLine) -> bool {
        if line.timestamp < self.first - BEFORE || line.timestamp > self.last + AFTER {
            return false;
        }
        let Some(part) = line.component() else { return false };
        let names_backend = || line.backends().any(|id| self.backends.contains(id));
        COMMON_PARTS.contains(&part)
            || (BACKEND_PARTS.contains(&part) && names_backend())
            || (part == "paths" && self.tells_of_refusal(line))
    }

    fn tells_of_refusal(&self, line: &LogLine) -> bool {
        self.refused_at.is_some_and(|at| (line.timestamp - at).abs() <= SAME_SHORTAGE)
    }
}

impl fmt::Display for RequestTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for TimelineEntry { line, mentions_request } in &self.lines {
            let mark = if *mentions_request { '*' } else { ' ' };
            let time = line.timestamp.format("%H:%M:%S%.3f");
            writeln!(f, "{time} {mark} {}: {}", line.file, line.text)?;
        }
        Ok(())
    }
}
