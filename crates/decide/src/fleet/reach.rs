//! What attempts to connect to the engines of a silent run tell.

use crate::ids::BackendId;

/// What became of an attempt to connect to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// It connected, or something came of it a moment ago.
    Connected,
    /// Its instance refused: nothing listens there.
    Refused,
    /// Nothing came back in the time that others take many times less of.
    NoAnswer,
}

/// Engines that are taken for down.
///
/// One whose instance refuses is down. One that doesn't answer is taken for
/// down only while most others answer: an entry that reaches few or none is
/// itself cut off.
pub fn unreachable(reached: &[(BackendId, Reach)]) -> Vec<BackendId> {
    let count = |wanted: Reach| reached.iter().filter(|(_, reach)| *reach == wanted).count();
    let believes_silence = count(Reach::Connected) > 2 * count(Reach::NoAnswer);
    let down = |reach: Reach| match reach {
        Reach::Connected => false,
        Reach::Refused => true,
        Reach::NoAnswer => believes_silence,
    };
    reached.iter().filter(|(_, reach)| down(*reach)).map(|(id, _)| id.clone()).collect()
}
