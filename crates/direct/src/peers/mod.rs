//! Tells the other entries what this one has at backend servers.
//!
//! Messages go by datagram, so that none waits for a silent peer; a lost one
//! is made up for by the next. Where the others are stands in the store.

mod directory;
mod talk;

pub(crate) use talk::talk_to_peers;
