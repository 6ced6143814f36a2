//! Splits the body of an event stream into server-sent events.

mod splitter;

pub use splitter::{Event, EventSplitter, EventTooLarge, MAX_EVENT_BYTES};
