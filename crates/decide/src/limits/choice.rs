//! Choice of the agents that keep boards.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

/// Number of boards, so that the loss of one interrupts no exchange.
const BOARDS: usize = 2;

/// The agents that keep boards. Entries that know the same agents choose the same ones,
/// and a change of the list moves few boards.
pub fn choose_boards(agents: impl IntoIterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let rank = |address: &SocketAddr| (xxh3_64(address.to_string().as_bytes()), *address);
    let mut agents: Vec<SocketAddr> = agents.into_iter().collect();
    agents.sort_by_cached_key(rank);
    agents.truncate(BOARDS);
    agents
}
