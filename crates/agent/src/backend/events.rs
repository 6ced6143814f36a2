//! Splitting of a server-sent event stream into events.

use bytes::{Bytes, BytesMut};

/// Buffers bytes of a stream and returns complete events, including the blank
/// line that ends each.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
    /// Length of the prefix of `pending` in which no event ends.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub(crate) fn next_event(&mut self) -> Option<Bytes> {
        let unsearched = &self.pending[self.searched..];
        let Some(found) = unsearched.windows(2).position(|pair| pair == b"\n\n") else {
            self.searched = self.pending.len().saturating_sub(1);
            return None;
        };
        let length = self.searched + found + 2;
        self.searched = 0;
        Some(self.pending.split_to(length).freeze())
    }

    /// Returns the bytes after the last complete event, if any.
    pub(crate) fn into_remainder(self) -> Option<Bytes> {
        (!self.pending.is_empty()).then(|| self.pending.freeze())
    }
}
