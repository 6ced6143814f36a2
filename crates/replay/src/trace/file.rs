//! Reading and writing of trace files.

use std::fmt::Write as _;
use std::path::Path;

use snafu::ResultExt;

use super::TraceEvent;
use crate::error::{IoSnafu, JsonSnafu, ReplayError};

/// Reads a trace file; blank lines are skipped.
pub(crate) fn read_trace(path: &Path) -> Result<Vec<TraceEvent>, ReplayError> {
    let text = std::fs::read_to_string(path).context(IoSnafu { path })?;
    let mut events = Vec::new();
    for (index, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        let event = serde_json::from_str(line).context(JsonSnafu { path, line: index + 1 })?;
        events.push(event);
    }
    Ok(events)
}

/// Writes a trace file, replacing an existing one.
pub(crate) fn write_trace(path: &Path, events: &[TraceEvent]) -> Result<(), ReplayError> {
    let mut text = String::new();
    for (index, event) in events.iter().enumerate() {
        let line = serde_json::to_string(event).context(JsonSnafu { path, line: index + 1 })?;
        let _ = writeln!(text, "{line}");
    }
    std::fs::write(path, text).context(IoSnafu { path })
}
