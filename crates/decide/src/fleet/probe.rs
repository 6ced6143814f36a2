//! Failure detection from connection attempts to the engines of a stalled run.

use crate::ids::BackendId;

/// Outcome of a connection attempt to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was accepted, or the engine was active so recently that
    /// no attempt was made.
    Connected,
    /// The connection was refused: no process listens on the address.
    Refused,
    /// The attempt timed out. The timeout is several times the usual connection
    /// time.
    TimedOut,
}

/// Returns the engines that are considered down.
///
/// An engine that refuses the connection is down. An engine that times out is
/// considered down only if more than twice as many engines are reachable as
/// time out: otherwise it is likely that this entry itself is partitioned from
/// the network.
pub fn unreachable_engines(probes: &[(BackendId, ProbeResult)]) -> Vec<BackendId> {
    let count = |wanted: ProbeResult| probes.iter().filter(|(_, result)| *result == wanted).count();
    let trust_timeouts = count(ProbeResult::Connected) > 2 * count(ProbeResult::TimedOut);
    let is_down = |result: ProbeResult| match result {
        ProbeResult::Connected => false,
        ProbeResult::Refused => true,
        ProbeResult::TimedOut => trust_timeouts,
    };
    probes.iter().filter(|(_, result)| is_down(*result)).map(|(id, _)| id.clone()).collect()
}
