//! What the other entries say of the work that they have at backend servers.

mod message;
mod view;

pub use message::{BackendLoad, BackendTag, LinkLoad, PeerMessage};
pub use view::{PeerUpdate, PeerView};
