//! Request traces: files with one JSON object per line, ordered by time.

mod event;
mod file;
mod generate;

pub(crate) use event::{TraceEvent, TraceKind};
pub(crate) use file::{read_trace, write_trace};
pub(crate) use generate::{LoadShape, generate};
