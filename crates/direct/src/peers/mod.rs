//! Tells the other entries what this one has at backend servers.
//!
//! Messages go by datagram, so that none waits for a silent peer; a lost one
//! is made up for by the next. Where the others are stands in the store.

mod directory;
mod exchange;

pub(crate) use exchange::exchange_messages;
