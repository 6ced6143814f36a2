//! What attempts to connect to the engines of a silent run tell.

use crate::ids::BackendId;

/// What became of an attempt to connect to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// It connected, or something came of it a moment ago.
    Connected,
    /// Its instance refused: nothing listens there.
    Refused,
    /// Nothing came back in the time that others take many times less of.
    TimedOut,
}

/// Engines that are taken for down.
///
/// One whose instance refuses is down. One that doesn't answer is taken for
/// down only while most others answer: an entry that reaches few or none is
/// itself cut off.
pub fn unreachable_engines(reached: &[(BackendId, ProbeResult)]) -> Vec<BackendId> {
    let count = |wanted: ProbeResult| reached.iter().filter(|(_, reach)| *reach == wanted).count();
    let believes_silence = count(ProbeResult::Connected) > 2 * count(ProbeResult::TimedOut);
    let down = |reach: ProbeResult| match reach {
        ProbeResult::Connected => false,
        ProbeResult::Refused => true,
        ProbeResult::TimedOut => believes_silence,
    };
    reached.iter().filter(|(_, reach)| down(*reach)).map(|(id, _)| id.clone()).collect()
}
