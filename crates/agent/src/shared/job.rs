//! Accepted work.

use std::rc::Rc;

use clementine_decide::dedup::RunPermit;
use clementine_decide::ids::Tick;
use clementine_process::shutdown::InProgressGuard;
use clementine_wire::RunRequest;

use super::SuspectGuard;
use crate::responses::ResponseBuffer;

/// Work that the deduplication table has accepted, from admission to its
/// outcome.
#[derive(Debug)]
pub(crate) struct Job {
    /// The request to execute.
    pub(crate) request: RunRequest,
    /// Permission to execute the work. Returned to the deduplication table if the
    /// work is not executed.
    pub(crate) permit: RunPermit,
    /// Buffer that receives the response.
    pub(crate) response: Rc<ResponseBuffer>,
    /// Time by which the response has to be complete.
    pub(crate) deadline: Tick,
    /// `None` if the request is not suspected of crashing backend servers.
    pub(crate) suspect: Option<SuspectGuard>,
    /// Counts the job as in progress, which a drain waits for.
    pub(crate) in_progress: InProgressGuard,
}
