//! Incremental splitter for server-sent events.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// One complete event, including the empty line that terminates it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event, as received.
    pub bytes: Bytes,
    /// The event's id, if it is an unsigned integer.
    pub id: Option<u64>,
}

impl Event {
    /// Whether the event carries anything but comments, which servers send to keep a
    /// connection open while they have nothing to say.
    pub fn has_content(&self) -> bool {
        let mut lines = self.bytes.split(|byte| matches!(byte, b'\n' | b'\r'));
        lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
    }
}

/// Maximum size of an event in bytes.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event has no end within [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("event of more than {MAX_EVENT_BYTES} bytes"))]
pub struct EventTooLarge;

/// Splits a body into events and buffers an incomplete event until the rest
/// arrives.
///
/// Invariant: after [`Self::next_event`] has returned `Ok(None)`, at most
/// [`MAX_EVENT_BYTES`] are buffered.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the prefix of `buffer` that contains no start of a terminator.
    searched: usize,
}

impl EventSplitter {
    /// Appends a chunk of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    ///
    /// # Errors
    ///
    /// Returns an error if the buffered bytes exceed the maximum size of an event and
    /// contain no end of one.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventTooLarge> {
        let Some(end) = event_end(&self.buffer, self.searched) else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(EventTooLarge);
            }
            // The last bytes of the buffer may be the start of a terminator.
            self.searched = self.buffer.len().saturating_sub(MAX_TERMINATOR_LEN - 1);
            return Ok(None);
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Ok(Some(Event { bytes, id }))
    }

    /// Number of buffered bytes of an incomplete event.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// The buffered bytes of an incomplete event, if there are any.
    pub fn into_remainder(self) -> Option<Bytes> {
        (!self.buffer.is_empty()).then(|| self.buffer.freeze())
    }
}

/// Length of the longest event terminator, `\r\n\r\n`, in bytes.
const MAX_TERMINATOR_LEN: usize = 4;

/// Position after the first event terminator that starts at `from` or later.
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
