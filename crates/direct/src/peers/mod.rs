//! Messages between the entries about their load on backend servers.
//!
//! Messages are UDP datagrams, so that an unresponsive entry does not delay
//! those to the others. Each status message replaces the one before it, so a lost
//! one needs no retransmission; what other datagrams tell is also found out
//! without them. The addresses of the entries are kept in the store.

mod config_offer;
mod directory;
mod exchange;
mod load;
mod receive;
mod receivers;
mod slack;

pub(crate) use exchange::exchange_messages;
