//! State that entries share with each other, such as their load on backend
//! servers.
//!
//! An entry reports on itself to the entries of its failure domain, and on its
//! domain as a whole to a few entries of each other domain. The cost for an
//! entry grows with the size of its domain and the number of domains.

mod entry_count;
mod feed;
mod message;
mod repeat;
mod schedule;
mod sighting;
mod totals;
mod urgent;
mod view;

pub use entry_count::EntryCount;
pub use feed::{ChangedRow, FeedPosition, FeedPositions, FollowedTable, TableChanges, must_follow};
pub use message::{
    BackendHash, BackendLoad, ConfigOffer, DomainSummary, LinkLoad, LoadStatus, PeerDatagram,
    PeerMessage, PeerReport, PlannerAnnouncement,
};
pub(crate) use repeat::{MIN_REPORTS, least_reported};
pub use schedule::{send_interval, summary_targets};
pub use sighting::{Condition, Sighting, SightingStep, Sightings, recovery_check_interval};
pub use totals::LoadTotals;
pub use urgent::{UrgentMessage, UrgentMessages};
pub use view::{PeerUpdate, PeerView};
