//! When an entry sends messages, and to which entries of other failure domains.

use clementine_objects::Millis;

/// Minimum interval between two messages to the same entry.
const MIN_SEND_INTERVAL: Millis = Millis(100);
/// Time by which each receiver lengthens the interval. This bounds the bytes
/// that an entry sends and receives.
const SEND_INTERVAL_PER_RECEIVER: Millis = Millis(10);

/// Interval between the messages of an entry that has this many receivers.
pub const fn send_interval(receivers: usize) -> Millis {
    Millis(MIN_SEND_INTERVAL.0 + SEND_INTERVAL_PER_RECEIVER.0 * receivers as u64)
}

/// Indices of the entries of another failure domain to which an entry sends the
/// summary of its own domain in a round.
///
/// In each round, the entries of a domain together reach every entry of the
/// other domain. The pairs differ from round to round, so that the loss of one
/// entry delays summaries by one round at most.
///
/// `rank` is the sender's position among the `senders` live entries of its
/// domain, `receivers` the number of entries of the other domain.
pub fn summary_targets(
    rank: usize,
    senders: usize,
    receivers: usize,
    round: u64,
) -> impl Iterator<Item = usize> {
    let senders = senders.max(1);
    let count = receivers.div_ceil(senders);
    let offset = round.checked_rem(receivers as u64).unwrap_or(0) as usize;
    (0..count).map(move |n| (offset + rank + n * senders) % receivers)
}
