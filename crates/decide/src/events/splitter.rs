//! Cuts a body into events.

use bytes::{Bytes, BytesMut};

/// One whole event with the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event, as they came.
    pub bytes: Bytes,
    /// Its id, where it has a whole number for one.
    pub id: Option<u64>,
}

/// Cuts a body into events; a part of an event is kept until the rest comes.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    /// Bytes of `rest` in which no end of an event begins.
    searched: usize,
}

impl EventSplitter {
    /// Takes in a part of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let Some(end) = event_end(&self.rest, self.searched) else {
            // The end may begin with the last bytes that are here.
            self.searched = self.rest.len().saturating_sub(LONGEST_END - 1);
            return None;
        };
        self.searched = 0;
        let bytes = self.rest.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Bytes of an event that has not ended.
    pub fn pending(&self) -> usize {
        self.rest.len()
    }
}

/// Length of the longest end of an event, `\r\n\r\n`, in bytes.
const LONGEST_END: usize = 4;

/// Position after the first end of an event that begins at `from` or later.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(found) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let next = at + found + 1;
        match bytes[next..] {
            [b'\n', ..] => return Some(next + 1),
            [b'\r', b'\n', ..] => return Some(next + 2),
            _ => at = next,
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
