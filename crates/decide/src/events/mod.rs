//! Events of a stream, cut out of the bytes of its body.

mod splitter;

pub use splitter::{Event, EventSplitter};
