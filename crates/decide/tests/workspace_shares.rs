//! Shares of workspaces in a pool whose capacity is scarce, with entries that learn of
//! each other's work with a delay.

mod share_fleet;

use clementine_decide::ids::Tick;
use clementine_decide::shares::{
    MAX_REPORTED_SHARES, MAX_TRACKED_SHARES, PoolHash, ShareKey, ShareLedger, ShareStatus,
    ShareTotals, Standing, WorkCost, WorkspaceHash, fair_level,
};
use clementine_objects::Millis;
use share_fleet::{Fleet, POOL, key};

const LAG: Option<Millis> = Some(Millis(500));
/// Slots that serve 100 requests per second.
const SLOTS: usize = 200;
const SIZES: [usize; 4] = [2, 8, 28, 103];

/// Requests per second of each workspace that are served once the sums have settled.
fn served(mut fleet: Fleet) -> Vec<f64> {
    const MEASURED_S: u64 = 60;
    fleet.run(Millis(6_000));
    fleet.take_served();
    fleet.run(Millis(MEASURED_S * 1_000));
    fleet.take_served().iter().map(|n| n / MEASURED_S as f64).collect()
}

/// Checks that entries with lagging views serve what they would serve with a central
/// counter, within 5%, and that they leave no capacity unused.
fn check_against_central_counter(rates: &[f64], least: &[f64]) {
    for entries in SIZES {
        let central = served(Fleet::new(entries, None, SLOTS, rates));
        let lagging = served(Fleet::new(entries, LAG, SLOTS, rates));
        println!("entries={entries} served={lagging:.1?} with a central counter {central:.1?}");
        // 0.3 requests per second are 18 requests in the measured time.
        let differs = |(a, b): (&f64, &f64)| (a - b).abs() > (0.05 * b).max(0.3);
        assert!(!lagging.iter().zip(&central).any(differs), "entries={entries}");
        assert!(lagging.iter().zip(least).all(|(found, least)| found >= least));
        assert!(lagging.iter().sum::<f64>() > 98.0, "unused capacity at entries={entries}");
    }
}

/// Guards against a workspace at 7.5 times its usual load that takes the shares of the
/// others.
#[test]
fn a_workspace_at_many_times_its_load_leaves_the_others_their_shares() {
    let least = [29.0, 18.0, 18.0, 13.3, 8.9, 4.4];
    check_against_central_counter(&[150.0, 20.0, 20.0, 15.0, 10.0, 5.0], &least);
}

/// Guards against shares that depend on how much more than its share a workspace asks
/// for: all three that ask for more get the same.
#[test]
fn workspaces_that_ask_for_more_than_their_share_get_the_same() {
    let least = [22.5, 22.5, 22.5, 17.5, 8.7];
    check_against_central_counter(&[150.0, 60.0, 40.0, 20.0, 10.0], &least);
}

/// Guards against a workspace with a request every 5 s that finds no capacity beside
/// large ones.
#[test]
fn a_small_rare_workspace_is_served() {
    let mut fleet = Fleet::new(28, LAG, SLOTS, &[150.0, 60.0, 0.2]);
    fleet.run(Millis(120_000));
    let (offered, served) = (fleet.offered[2], fleet.served[2]);
    assert!(offered > 10.0 && served >= offered * 0.9, "{served} of {offered}");
    let now = Tick(fleet.now);
    let unserved = ShareKey { workspace: WorkspaceHash(77), ..key(0) };
    fleet.ledger(0).record_offered(unserved, WorkCost::REQUEST, now);
    assert_eq!(fleet.ledger(0).standing(unserved, now), Standing::Unserved);
}

/// Guards against callers that gain capacity by repeating refused requests at once.
#[test]
fn immediate_repetitions_gain_nothing() {
    let rates = [60.0, 60.0, 20.0];
    for entries in [2, 28] {
        let mut fleet = Fleet::new(entries, LAG, SLOTS, &rates);
        fleet.repeat_ms[0] = 2_000;
        let served = served(fleet);
        println!("entries={entries} served={served:.1?}");
        assert!((served[0] / served[1] - 1.0).abs() < 0.1, "{served:.1?}");
        assert!(served[2] > 18.5, "{served:.1?}");
    }
}

/// Guards against the share of a lost entry that is kept for it, and against an entry
/// without messages that keeps no shares at all.
#[test]
fn the_share_of_a_lost_entry_returns_when_its_report_expires() {
    let mut ledgers = [ShareLedger::default(), ShareLedger::default()];
    let now = Tick(1_000);
    let cost = WorkCost::REQUEST;
    for (ledger, workspace) in ledgers.iter_mut().zip([0, 1]) {
        ledger.record_scarce(POOL, now);
        for _ in 0..20 {
            ledger.record_offered(key(workspace), cost, now);
        }
        (0..10).for_each(|_| ledger.record_admitted(key(workspace), cost, now));
    }
    let mut others = ShareTotals::default();
    others.add(&ledgers[1].report(now));
    ledgers[0].merge(others);
    let level = |ledger: &ShareLedger| ledger.summary(key(0), now).expect("scarce").level;
    assert!((level(&ledgers[0]) - 10.0).abs() < 0.1);
    let both = ledgers[0].summary(key(1), now).expect("scarce");
    assert!((both.demand - 20.0).abs() < 0.1, "demand at the other entry counts");
    ledgers[0].merge(ShareTotals::default());
    assert!((level(&ledgers[0]) - 10.0).abs() < 0.1, "own sums are still divided");
    let left = ledgers[0].summary(key(1), now).expect("scarce");
    assert!(left.demand.abs() < f64::EPSILON);
}

/// Guards against requests that are ordered by shares while there is capacity for all,
/// and against messages that grow then.
#[test]
fn nothing_is_divided_or_sent_while_there_is_capacity() {
    let mut fleet = Fleet::new(8, LAG, SLOTS, &[40.0, 5.0]);
    fleet.run(Millis(10_000));
    let now = Tick(fleet.now);
    for ledger in &fleet.ledgers {
        assert_eq!(ledger.standing(key(0), now), Standing::Within);
        assert!(ledger.report(now).is_empty());
    }
    fleet.rates = vec![200.0, 5.0];
    fleet.run(Millis(5_000));
    assert!(fleet.ledgers.iter().all(|ledger| !ledger.report(Tick(fleet.now)).is_empty()));
    fleet.rates = vec![40.0, 5.0];
    fleet.run(Millis(8_000));
    let now = Tick(fleet.now);
    assert!(fleet.ledgers.iter().all(|ledger| ledger.report(now).is_empty()));
}

/// Guards against the shares of one pool that are derived from the load of another.
#[test]
fn pools_have_shares_of_their_own() {
    let mut ledger = ShareLedger::default();
    let now = Tick(1_000);
    let other = ShareKey { pool: PoolHash(2), ..key(0) };
    ledger.record_scarce(POOL, now);
    for _ in 0..50 {
        for key in [key(0), key(1), other] {
            ledger.record_offered(key, WorkCost::REQUEST, now);
        }
    }
    (0..50).for_each(|_| ledger.record_admitted(other, WorkCost::REQUEST, now));
    assert_eq!(ledger.standing(other, now), Standing::Within);
    assert!(ledger.summary(other, now).is_none());
    assert!(ledger.report(now).pools.iter().all(|shares| shares.pool == POOL));
}

/// Guards against memory and messages that grow with the number of workspaces and pools.
#[test]
fn memory_and_messages_are_bounded() {
    let mut ledger = ShareLedger::default();
    let now = Tick(1_000);
    let cost = WorkCost::of_run(900.0, 80).expect("valid cost");
    for n in 0..2_000 {
        let pool = PoolHash(n % 7);
        ledger.record_scarce(PoolHash(n), now);
        ledger.record_scarce(pool, now);
        let key = ShareKey { pool, workspace: WorkspaceHash(n) };
        ledger.record_offered(key, cost, now);
        assert!(ledger.tracked() <= MAX_TRACKED_SHARES && ledger.scarce_pools(now) <= 64);
    }
    (0..7).for_each(|pool| ledger.record_scarce(PoolHash(pool), now.after(Millis(1))));
    let report = ledger.report(now.after(Millis(1)));
    let reported: usize = report.pools.iter().map(|pool| pool.workspaces.len()).sum();
    assert_eq!(reported, MAX_REPORTED_SHARES);
    let mut totals = ShareTotals::default();
    (0..100).for_each(|_| totals.add(&report));
    assert_eq!(totals.clone().into_status().pools.len(), report.pools.len());
    let text = serde_json::to_vec(&report).expect("report is encoded");
    let decoded: ShareStatus = serde_json::from_slice(&text).expect("report is decoded");
    assert_eq!(decoded, report);
}

#[test]
fn what_one_workspace_leaves_is_divided_among_the_others() {
    assert!((fair_level(&mut [150.0, 20.0, 10.0], 100.0) - 70.0).abs() < 1e-9);
    assert!((fair_level(&mut [150.0, 60.0, 40.0], 90.0) - 30.0).abs() < 1e-9);
    assert!(fair_level(&mut [10.0, 20.0], 30.0).is_infinite());
    assert!(fair_level(&mut [], 0.0).is_infinite());
}
