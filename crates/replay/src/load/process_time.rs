//! Processor time and memory of a process, from `/proc`.

use std::time::Duration;

/// Clock ticks a second that Linux reports processor time in.
const TICKS_PER_SECOND: u64 = 100;

/// What a process has used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ProcessUse {
    /// Processor time since its start.
    pub(crate) cpu: Duration,
    /// Resident memory, in bytes.
    pub(crate) resident_bytes: u64,
}

/// What a process has used so far; `None` when there is no such process.
pub(crate) fn process_use(pid: u32) -> Option<ProcessUse> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = resident.split_whitespace().next()?.parse().ok()?;
    Some(ProcessUse {
        cpu: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
        resident_bytes: kib * 1024,
    })
}
