//! Retry delays of refused callers at different refusal rates.

use clementine_decide::ids::Tick;
use clementine_decide::overload::{RefusalRate, max_capacity_wait};
use clementine_objects::Millis;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Requests at a constant rate, of which one in `refused` finds no capacity.
fn load(refused: u64) -> RefusalRate {
    let mut rate = RefusalRate::default();
    for n in 0..400 {
        rate.record(n % refused != 0, Tick(n * 15));
    }
    rate
}

fn retry_delays(rate: RefusalRate) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(7);
    (0..200).map(|_| rate.retry_after(&mut rng).0).collect()
}

#[test]
fn a_retry_after_a_short_burst_can_still_be_on_time() {
    let wait = max_capacity_wait(Millis(500));
    assert!(retry_delays(load(50)).iter().all(|delay| delay + wait.0 < 400));
}

#[test]
fn retry_delays_grow_with_the_refusal_rate() {
    let mean = |refused| retry_delays(load(refused)).iter().sum::<u64>() / 200;
    let means = [mean(50), mean(5), mean(2), mean(1)];
    assert!(means.is_sorted() && means[3] > 5 * means[0], "{means:?}");
}

#[test]
fn retry_delays_are_spread() {
    let delays = retry_delays(load(1));
    let (least, most) = (delays.iter().min(), delays.iter().max());
    assert!(most.expect("delays") - least.expect("delays") > 1_000);
}

#[test]
fn the_refusal_rate_falls_when_there_is_capacity() {
    let mut rate = load(1);
    for n in 0..100 {
        rate.record(true, Tick(6_000 + n * 60));
    }
    assert!(rate.refused_share() < 0.2, "{}", rate.refused_share());
}
