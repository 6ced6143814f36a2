//! When refused callers come back, replayed for the loads that refuse them.

use clementine_decide::ids::Tick;
use clementine_decide::overload::{RefusalRate, max_capacity_wait};
use clementine_objects::Millis;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Requests at a steady rate, of which every `refused`th finds no room.
fn load(refused: u64) -> RefusalRate {
    let mut pressure = RefusalRate::default();
    for n in 0..400 {
        pressure.record(n % refused != 0, Tick(n * 15));
    }
    pressure
}

fn pauses(pressure: RefusalRate) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(7);
    (0..200).map(|_| pressure.retry_after(&mut rng).0).collect()
}

#[test]
fn a_caller_refused_in_a_short_burst_can_still_be_served_on_time() {
    let wait = max_capacity_wait(Millis(500));
    assert!(pauses(load(50)).iter().all(|pause| pause + wait.0 < 400));
}

#[test]
fn callers_come_back_later_the_more_are_refused() {
    let mean = |refused| pauses(load(refused)).iter().sum::<u64>() / 200;
    let means = [mean(50), mean(5), mean(2), mean(1)];
    assert!(means.is_sorted() && means[3] > 5 * means[0], "{means:?}");
}

#[test]
fn callers_do_not_come_back_together() {
    let pauses = pauses(load(1));
    let (least, most) = (pauses.iter().min(), pauses.iter().max());
    assert!(most.expect("pauses") - least.expect("pauses") > 1_000);
}

#[test]
fn pressure_falls_when_there_is_room_again() {
    let mut pressure = load(1);
    for n in 0..100 {
        pressure.record(true, Tick(6_000 + n * 60));
    }
    assert!(pressure.refused_share() < 0.2, "{}", pressure.refused_share());
}
