//! Reads the answer of work at an agent.

use std::rc::Rc;

use clementine_decide::ids::WorkId;
use clementine_wire::{Progress, ReadRequest, ReadResponse};

use crate::entry::Entry;
use crate::fleet::Member;

/// Connections tried for one read: the present one and a new one.
const CONNECTIONS: u32 = 2;

/// Why an answer can't be read on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// The agent can't be reached.
    Unreachable,
    /// The agent does not hold the work.
    NotHeld,
}

/// Reads the answer of work at an agent, over as many connections as needed.
#[derive(Debug)]
pub(crate) struct WorkReader {
    member: Rc<Member>,
    work: WorkId,
    offset: u32,
}

impl WorkReader {
    /// A reader of work from a chunk on.
    pub(crate) const fn new(member: Rc<Member>, work: WorkId, offset: u32) -> Self {
        Self { member, work, offset }
    }

    /// Takes note of chunks that came with another answer.
    pub(crate) fn skip(&mut self, progress: &Progress) {
        self.offset += u32::try_from(progress.chunks.len()).unwrap_or(u32::MAX);
    }

    /// The next progress; empty when there was none in time.
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
