//! Signals in one response of a backend server.

use clementine_objects::Millis;

use super::RequestRate;

/// A value that a response may carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Signal<T> {
    /// The response does not carry it.
    #[default]
    Absent,
    /// The response carries it.
    Present(T),
    /// The response carries a value that can't be read, and says nothing.
    Malformed,
}

impl<T> Signal<T> {
    /// The value, if it can be read.
    pub fn present(self) -> Option<T> {
        match self {
            Self::Present(value) => Some(value),
            Self::Absent | Self::Malformed => None,
        }
    }

    /// Whether the response carries a value that can't be read.
    pub const fn is_malformed(&self) -> bool {
        matches!(self, Self::Malformed)
    }
}

/// What a backend server says in a response about the requests that it accepts.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ResponseSignals {
    /// Requests that it accepts from all entries together, for as long as its
    /// responses say so.
    pub limit: Signal<RequestRate>,
    /// It is draining and will terminate.
    pub draining: Signal<()>,
    /// It rejected the request, and accepts none of this entry for this time.
    pub retry_delay: Signal<Millis>,
}
