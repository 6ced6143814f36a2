//! Repetition of facts in status messages, since messages can be lost.

/// Number of times that a fact is reported that does not change any more.
pub(crate) const MIN_REPORTS: u32 = 10;

/// At most `max` of the facts that are due, those first that were reported least
/// often. Each comes with the number of its reports.
pub(crate) fn least_reported<T>(due: impl Iterator<Item = (u32, T)>, max: usize) -> Vec<T> {
    let mut due: Vec<(u32, T)> = due.collect();
    due.sort_by_key(|(reported, _)| *reported);
    due.into_iter().take(max).map(|(_, fact)| fact).collect()
}
