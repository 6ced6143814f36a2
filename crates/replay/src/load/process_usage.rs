//! CPU time and memory of a process, from `/proc`.

use std::time::Duration;

/// Clock ticks per second (`USER_HZ`), the unit of CPU times in `/proc/PID/stat`.
const TICKS_PER_SECOND: u64 = 100;

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ProcessUsage {
    /// CPU time in user and kernel mode since the process started.
    pub(crate) cpu: Duration,
    /// Resident set size in bytes.
    pub(crate) resident_bytes: u64,
}

/// Reads the resource usage of a process; returns `None` if it does not exist.
pub(crate) fn process_usage(pid: u32) -> Option<ProcessUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The command name, in parentheses, may contain spaces; `utime` and `stime` are
    // fields 12 and 13 after it.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = resident.split_whitespace().next()?.parse().ok()?;
    Some(ProcessUsage {
        cpu: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
        resident_bytes: kib * 1024,
    })
}
