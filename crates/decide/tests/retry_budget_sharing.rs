//! Retry budgets that entries share while they are killed, frozen, cut off and added,
//! several at once.

mod retry_fleet;

use clementine_decide::ids::{IncarnationId, Tick};
use clementine_decide::peers::EntryCount;
use clementine_decide::retry::{
    Contact, RetryPriority, SharedBudgets, SlackAnswer, SlackMark, WindowLimits,
};
use clementine_decide::shares::PoolHash;
use clementine_objects::Millis;
use retry_fleet::{BUDGET, Fault, Fleet, POOL, SECOND_MS};

const FLEETS: [usize; 4] = [3, 4, 12, 28];

/// Guards against retries beyond the budget when entries forget what they used, or divide
/// the slack among those that they hear: each seed is another series of faults.
#[test]
fn no_window_exceeds_the_retry_budget_under_overlapping_faults() {
    for seed in 0..40 {
        let entries = FLEETS[seed as usize % FLEETS.len()];
        let mut fleet = Fleet::new(entries, seed);
        fleet.run(12 * SECOND_MS);
        for _ in 0..8 {
            fleet.inject_random_faults();
            fleet.run(2 * SECOND_MS);
        }
        fleet.run(12 * SECOND_MS);
        let worst = fleet.worst_window();
        assert!(
            worst.repeats as f64 <= worst.allowed,
            "seed {seed}, {entries} entries: {worst:?}, faults {:?}",
            fleet.faults
        );
    }
}

#[test]
fn entries_cut_off_from_each_other_do_not_take_each_other_s_slack() {
    for entries in FLEETS {
        let mut fleet = Fleet::new(entries, 1);
        fleet.run(12 * SECOND_MS);
        for entry in 0..entries {
            fleet.inject(entry, Fault::CutOff, 30 * SECOND_MS);
        }
        fleet.run(40 * SECOND_MS);
        let worst = fleet.worst_window();
        assert!(worst.repeats as f64 <= worst.allowed, "{entries} entries: {worst:?}");
    }
}

#[test]
fn undisturbed_entries_use_most_of_the_budget() {
    for entries in FLEETS {
        let mut fleet = Fleet::new(entries, 2);
        fleet.run(40 * SECOND_MS);
        let worst = fleet.worst_window();
        assert!(worst.repeats as f64 <= worst.allowed, "{entries} entries: {worst:?}");
        let floor = worst.allowed * if entries < 4 { 0.6 } else { 0.75 };
        assert!(worst.repeats as f64 >= floor, "{entries} entries: {worst:?}");
    }
}

/// A time since the start of the process, in ms.
const fn at(ms: u64) -> Tick {
    Tick::START.after(Millis(ms))
}

fn budgets(entries: usize) -> SharedBudgets {
    let mut budgets = SharedBudgets::new("one".into(), IncarnationId(2), BUDGET);
    budgets.set_entry_count(entries);
    budgets
}

fn spend(budgets: &mut SharedBudgets, now: Tick) -> usize {
    let grant = || budgets.try_retry(POOL, RetryPriority::High, Contact::Heard, now).granted;
    std::iter::repeat_with(grant).take_while(|granted| *granted).count()
}

fn answer(age: u64, retries: u32) -> SlackAnswer {
    SlackAnswer {
        from: "two".into(),
        to: IncarnationId(2),
        entries: 4,
        age: Millis(age),
        marks: vec![SlackMark { pool: POOL, retries }],
    }
}

#[test]
fn restarted_process_spends_only_what_the_last_one_left() {
    let share = (BUDGET.slack * 0.85 / 4.0) as usize;
    let mut process = budgets(4);
    assert_eq!(spend(&mut process, at(100)), 0, "nothing is known yet");
    assert!(process.must_recall(at(100)) && process.report(at(100)).is_none());
    assert!(process.record_answer(&answer(1_500, 10), at(200)));
    assert_eq!(spend(&mut process, at(200)), share - 10);
    let report = process.report(at(300)).expect("a report");
    assert!(report.marks[0].retries as usize >= share, "{report:?}");
    assert_eq!(spend(&mut process, at(BUDGET.window.0)), 10, "the first window has passed");
}

#[test]
fn first_process_of_all_has_nothing_to_recall() {
    let mut process = budgets(4);
    process.record_no_past();
    assert!(!process.must_recall(at(0)) && spend(&mut process, at(0)) > 0);
}

#[test]
fn one_old_report_does_not_tell_what_the_last_process_used() {
    let mut process = budgets(4);
    assert!(!process.record_answer(&answer(8_000, 0), at(200)));
    assert_eq!(spend(&mut process, at(200)), 0);
    let other = SlackAnswer { from: "three".into(), ..answer(9_000, 0) };
    assert!(process.record_answer(&other, at(300)), "two agree that it was silent");
    assert!(spend(&mut process, at(300)) > 0);
    let to_another = SlackAnswer { to: IncarnationId(9), ..answer(100, 0) };
    assert!(!budgets(4).record_answer(&to_another, at(300)));
}

#[test]
fn isolated_process_uses_no_more_slack_than_it_has_reported() {
    let mut process = budgets(4);
    process.record_answer(&answer(100, 0), at(200));
    let isolated = |process: &mut SharedBudgets| {
        let retry = |_| process.try_retry(POOL, RetryPriority::High, Contact::Isolated, at(300));
        (0..50).map(retry).filter(|decision| decision.granted).count()
    };
    assert_eq!(isolated(&mut process), 0);
    let first = process.try_retry(POOL, RetryPriority::High, Contact::Heard, at(300));
    assert!(first.granted && first.must_report);
    let reported = process.report(at(300)).expect("a report").marks[0].retries as usize;
    assert_eq!(isolated(&mut process), reported - 1);
}

/// A retry that waits for capacity reaches a server in a later window.
#[test]
fn retry_counts_when_it_is_sent() {
    let mut process = budgets(4);
    process.record_answer(&answer(100, 0), at(200));
    let taken = spend(&mut process, at(1_000));
    for _ in 0..taken {
        process.record_sent(POOL, at(1_000), at(3_000));
    }
    let window = BUDGET.window.0;
    assert_eq!(spend(&mut process, at(window + 1_900)), 0, "they were sent at 3 s");
    assert_eq!(spend(&mut process, at(window + 3_600)), taken);
}

#[test]
fn pools_have_budgets_of_their_own() {
    let mut process = budgets(4);
    process.record_answer(&answer(100, 1_000), at(200));
    assert_eq!(spend(&mut process, at(200)), 0);
    let other = PoolHash(POOL.0 + 1);
    assert!(process.try_retry(other, RetryPriority::High, Contact::Heard, at(200)).granted);
}

#[test]
fn changed_budget_applies_at_once() {
    let mut process = budgets(4);
    process.record_answer(&answer(100, 0), at(200));
    process.set_total(WindowLimits { slack: 0.0, ..BUDGET });
    assert_eq!(spend(&mut process, at(200)), 0);
}

#[test]
fn count_of_entries_grows_at_once_and_shrinks_late() {
    let mut count = EntryCount::default();
    let minute = 60 * SECOND_MS;
    count.observe(28, at(0));
    count.observe(13, at(minute));
    assert_eq!(count.get(), 28, "the others may be cut off");
    count.observe(29, at(2 * minute));
    count.observe(20, at(11 * minute));
    assert_eq!(count.get(), 29, "all were heard 9 minutes ago");
    count.observe(10, at(13 * minute));
    assert_eq!(count.get(), 29, "this entry may be the one that is cut off");
    count.observe(20, at(13 * minute));
    assert_eq!(count.get(), 20);
}
