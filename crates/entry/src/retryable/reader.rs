//! Reading of the response of work from an agent.

use std::rc::Rc;

use clementine_decide::ids::WorkId;
use clementine_wire::{Progress, ReadRequest, ReadResponse};

use crate::entry::Entry;
use crate::fleet::Member;

/// Number of connections tried for one read: the current one and a new one.
const CONNECTIONS: u32 = 2;

/// Error from reading a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// The agent is unreachable.
    Unreachable,
    /// The agent does not hold the work.
    NotHeld,
}

/// Reads the response of work from an agent, and resumes at the same offset on a
/// new connection if one fails.
#[derive(Debug)]
pub(crate) struct WorkReader {
    member: Rc<Member>,
    work: WorkId,
    offset: u32,
}

impl WorkReader {
    /// Creates a reader that starts at a chunk offset.
    pub(crate) const fn new(member: Rc<Member>, work: WorkId, offset: u32) -> Self {
        Self { member, work, offset }
    }

    /// Advances the offset past chunks that were received already.
    pub(crate) fn skip(&mut self, progress: &Progress) {
        self.offset += u32::try_from(progress.chunks.len()).unwrap_or(u32::MAX);
    }

    /// Returns the next progress; empty if there was none within the poll timeout.
    pub(crate) async fn next(&mut self, entry: &Entry) -> Result<Progress, ReadError> {
        let request = ReadRequest { work: self.work, offset: self.offset };
        for _ in 0..CONNECTIONS {
            match self.member.read(request).await {
                Ok(ReadResponse::Progress(progress)) => {
                    self.skip(&progress);
                    return Ok(progress);
                }
                Ok(ReadResponse::NotHeld) => return Err(ReadError::NotHeld),
                Err(_) => entry.metrics.count_reconnect(),
            }
        }
        Err(ReadError::Unreachable)
    }
}
