//! What a holder hears of the others while the store is away.

/// What a holder hears of the others while the store doesn't answer it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseQuorum {
    /// Processes that are heard, this one included.
    pub live: usize,
    /// Processes that were heard at the last renewal, this one included.
    pub live_at_renewal: usize,
    /// Whether another process says that it holds the lease.
    pub other_holder: bool,
    /// Whether others have learned from the store meanwhile: it is away for
    /// this process only, and another can do better.
    pub others_reach_store: bool,
}

impl LeaseQuorum {
    /// Whether the others still leave the lease to this process: a process
    /// that hears the holder doesn't take the lease, and most do.
    pub const fn allows_extension(&self) -> bool {
        let most = self.live * 2 > self.live_at_renewal;
        most && !self.other_holder && !self.others_reach_store
    }
}
