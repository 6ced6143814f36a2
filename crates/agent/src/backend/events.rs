//! Splits a stream of server-sent events.

use bytes::{Bytes, BytesMut};

/// Collects bytes and hands out whole events, blank line included.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
    /// Bytes of `pending` that hold no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Takes in bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// The next whole event.
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

    /// What is left after the last whole event.
    pub(crate) fn into_remainder(self) -> Option<Bytes> {
        (!self.pending.is_empty()).then(|| self.pending.freeze())
    }
}
