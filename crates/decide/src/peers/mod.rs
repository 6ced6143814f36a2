//! State that entries share with each other, such as their load on backend
//! servers.

mod message;
mod view;

pub use message::{BackendHash, BackendLoad, LinkLoad, PeerMessage};
pub use view::{PeerUpdate, PeerView};
