//! Replays recorded traces against stated outcomes.

fn main() {}
