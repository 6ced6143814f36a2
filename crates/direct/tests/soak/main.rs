//! Entries as processes of their own under faults from outside.
//!
//! Entries are killed, frozen, stopped, started again and told of changed
//! settings; their connections to the store are cut, refused or silenced;
//! engines and backend servers refuse, break off, fall silent or leave; the
//! configuration changes. All of it overlaps. Callers keep their connections
//! open meanwhile and check every answer, and backend servers note what they
//! ran.
//!
//! `SOAK_SEEDS=FIRST-LAST` plays other seeds than the pinned ones,
//! `SOAK_SECONDS` sets the length of the faults.

#[path = "../world/mod.rs"]
mod world;

mod callers;
mod checks;
mod entries;
mod faults;
mod fleet;

use std::env;
use std::time::Duration;

use fleet::Soak;

/// Seeds that CI plays: those that ever failed, each with its cause, and one
/// that did not.
const PINNED: [u64; 1] = [1];
/// Length of the faults in CI.
const SECONDS: u64 = 6;

fn seeds() -> Vec<u64> {
    let Ok(text) = env::var("SOAK_SEEDS") else { return PINNED.to_vec() };
    let (first, last) = text.split_once('-').expect("FIRST-LAST");
    (first.parse().expect("a seed")..=last.parse().expect("a seed")).collect()
}

#[actix_rt::test]
async fn promises_hold_under_faults() {
    let seconds = env::var("SOAK_SECONDS").map_or(SECONDS, |text| text.parse().expect("seconds"));
    let mut failed = Vec::new();
    for seed in seeds() {
        let broken = Soak::start(seed).await.play(Duration::from_secs(seconds)).await;
        println!("seed {seed}: {} broken", broken.len());
        failed.extend(broken.into_iter().map(|broken| format!("seed {seed}: {broken}")));
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
