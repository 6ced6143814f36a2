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

#[path = "../common/mod.rs"]
mod common;

mod callers;
mod checks;
mod entries;
mod faults;
mod harness;

use std::env;
use std::time::Duration;

use harness::Soak;

/// Seeds that CI plays: those that ever failed, each with its cause, and one
/// that did not.
const CI_SEEDS: [u64; 1] = [1];
/// Length of the faults in CI.
const FAULT_SECONDS: u64 = 6;

fn seeds() -> Vec<u64> {
    let Ok(text) = env::var("SOAK_SEEDS") else { return CI_SEEDS.to_vec() };
    let (first, last) = text.split_once('-').expect("FIRST-LAST");
    (first.parse().expect("a seed")..=last.parse().expect("a seed")).collect()
}

#[actix_rt::test]
async fn guarantees_hold_under_faults() {
    let seconds =
        env::var("SOAK_SECONDS").map_or(FAULT_SECONDS, |text| text.parse().expect("seconds"));
    let mut violations_by_seed = Vec::new();
    for seed in seeds() {
        let violations = Soak::start(seed).await.run(Duration::from_secs(seconds)).await;
        println!("seed {seed}: {} violations", violations.len());
        violations_by_seed
            .extend(violations.into_iter().map(|violation| format!("seed {seed}: {violation}")));
    }
    assert!(violations_by_seed.is_empty(), "{}", violations_by_seed.join("\n"));
}
