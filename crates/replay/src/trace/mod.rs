//! Recorded traces: one JSON object a line, in order of time.

mod event;
mod file;
mod generate;

pub(crate) use event::{TraceEvent, TraceKind};
pub(crate) use file::{read_trace, write_trace};
pub(crate) use generate::{Shape, generate};
