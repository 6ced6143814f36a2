//! Conditions for keeping a lease while the store is unavailable.

/// State of the other processes as seen by the lease holder during an outage of
/// the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseQuorum {
    /// Number of live processes, including this one.
    pub live: usize,
    /// Number of live processes at the last renewal, including this one.
    pub live_at_renewal: usize,
    /// Whether another process announces that it holds the lease.
    pub other_holder: bool,
    /// Whether other processes have received changes from the store since the
    /// outage began. The store is then unavailable to this process only, and
    /// another one should take the lease.
    pub others_reach_store: bool,
}

impl LeaseQuorum {
    /// Whether the holder may extend the lease without the store: the majority
    /// of the processes is live. A process that receives the holder's messages
    /// does not take the lease.
    pub const fn allows_extension(&self) -> bool {
        let majority = self.live * 2 > self.live_at_renewal;
        majority && !self.other_holder && !self.others_reach_store
    }
}
