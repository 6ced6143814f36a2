//! Work that the gate has accepted.

use std::rc::Rc;

use clementine_decide::dedup::RunPermit;
use clementine_decide::ids::Tick;
use clementine_process::shutdown::InProgressGuard;
use clementine_wire::RunRequest;

use crate::responses::ResponseBuffer;

/// Work that the gate has accepted and that was not given to the backend
/// server yet.
#[derive(Debug)]
pub(crate) struct Job {
    /// The order.
    pub(crate) request: RunRequest,
    /// The right to run it.
    pub(crate) permit: RunPermit,
    /// Its answer.
    pub(crate) response: Rc<ResponseBuffer>,
    /// Time by which the answer has to be there.
    pub(crate) deadline: Tick,
    /// Counts the job among the suspects until it has ended, if it is one.
    pub(crate) suspect: Option<InProgressGuard>,
    /// Keeps a drain waiting until the job has ended.
    pub(crate) in_progress: InProgressGuard,
}
