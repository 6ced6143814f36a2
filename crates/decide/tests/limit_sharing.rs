//! Division of a backend server's limit among 2 to 103 entries.

mod seeded;

use std::collections::BTreeMap;

use clementine_decide::fleet::BackendIncarnation;
use clementine_decide::ids::{DomainId, EntryId, Tick};
use clementine_decide::signals::{
    LimitReport, LimitSharing, RequestRate, ResponseSignals, ResponseSource, ServerSignals, Signal,
    SignalReport,
};
use clementine_objects::Millis;
use quickcheck::TestResult;
use seeded::seeded;

/// Length of the window in which a server's requests are counted, in ms.
const WINDOW_MS: u64 = 4_000;
/// Sizes of fleets, as numbers of entries in each failure domain.
const FLEETS: [&[usize]; 5] = [&[2], &[2, 1, 1], &[1, 1, 1], &[7, 7, 7, 7], &[21, 21, 21, 20, 20]];
const LIMITS: [f64; 9] = [0.0, 0.3, 1.0, 2.3, 3.0, 12.0, 50.0, 103.0, 300.0];

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("a valid rate")
}

type Fleet = BTreeMap<DomainId, Vec<EntryId>>;

fn fleet(sizes: &[usize]) -> Fleet {
    let domain = |(n, size): (usize, &usize)| {
        let entries = (0..*size).map(|entry| format!("entry-{n}-{entry}").as_str().into());
        (format!("domain-{n}").as_str().into(), entries.collect())
    };
    sizes.iter().enumerate().map(domain).collect()
}

/// The shares of all entries, each from its own view of the fleet.
fn shares(fleet: &Fleet, server: u64, limit: f64) -> Vec<(f64, f64)> {
    let mut shares = Vec::new();
    for (domain, entries) in fleet {
        for entry in entries {
            let sharing = LimitSharing {
                entry,
                domain,
                neighbors: entries.iter().filter(|other| *other != entry).collect(),
                domains: fleet
                    .iter()
                    .filter(|(other, _)| *other != domain)
                    .map(|(other, entries)| (other, entries.len() as u32))
                    .collect(),
                known_entries: fleet.values().map(Vec::len).sum(),
            };
            let share = sharing.share(BackendIncarnation(server), rate(limit));
            shares.push((share.rate.per_second(), share.burst));
        }
    }
    shares
}

/// The most requests that a server may get in a window, as the users count it.
fn allowed(limit: f64) -> f64 {
    limit * 4.0 * 1.5 + 5.0
}

#[test]
fn shares_of_every_fleet_use_most_of_the_limit_and_no_more() {
    for sizes in FLEETS {
        for limit in LIMITS {
            for server in 0..20 {
                let shares = shares(&fleet(sizes), server, limit);
                let total: f64 = shares.iter().map(|(rate, _)| rate).sum();
                let bursts: f64 = shares.iter().map(|(_, burst)| burst).sum();
                let case = format!("{sizes:?} limit={limit} total={total} bursts={bursts}");
                assert!(total <= limit.max(0.1) && total >= limit * 0.8, "{case}");
                assert!(total * 4.0 + bursts <= allowed(limit), "{case}");
                assert!(bursts >= 1.0, "some entry may send: {case}");
            }
        }
    }
}

/// All entries have more requests than they may send; the server's requests are
/// counted in every window.
#[test]
fn no_window_exceeds_the_limit_under_full_load() {
    for sizes in FLEETS {
        for limit in LIMITS {
            let mut entries: Vec<ServerSignals> = Vec::new();
            for (share, burst) in shares(&fleet(sizes), 7, limit) {
                let mut signals = ServerSignals::default();
                let named = ResponseSignals {
                    limit: Signal::Present(rate(limit)),
                    ..ResponseSignals::default()
                };
                signals.apply(named, ResponseSource::Caller, Tick(0));
                let share = clementine_decide::signals::LimitShare { rate: rate(share), burst };
                signals.set_share(share, Tick(0));
                entries.push(signals);
            }
            let mut sent = Vec::new();
            for now in (0..20_000).step_by(10) {
                for entry in &mut entries {
                    while entry.may_send(Tick(now)) {
                        entry.record_send(Tick(now));
                        sent.push(now);
                    }
                }
            }
            let in_window =
                |from: u64| sent.iter().filter(|at| (from..from + WINDOW_MS).contains(at)).count();
            let most = (0..16_000).step_by(100).map(in_window).max().unwrap_or(0);
            assert!(most as f64 <= allowed(limit), "{sizes:?} limit={limit}: {most}");
            assert!(!sent.is_empty(), "a server that names 0 is asked now and then");
        }
    }
}

/// Guards against entries that take the shares of those that they don't hear: each entry
/// of the fleet is cut off from all others.
#[test]
fn entries_cut_off_from_each_other_do_not_exceed_the_limit() {
    for sizes in FLEETS {
        let fleet = fleet(sizes);
        let known_entries = fleet.values().map(Vec::len).sum();
        for limit in LIMITS {
            let (mut rates, mut bursts) = (0.0, 0.0);
            for (domain, entries) in &fleet {
                for entry in entries {
                    let (neighbors, domains) = (Vec::new(), Vec::new());
                    let sharing = LimitSharing { entry, domain, neighbors, domains, known_entries };
                    let share = sharing.share(BackendIncarnation(7), rate(limit));
                    rates += share.rate.per_second();
                    bursts += share.burst;
                }
            }
            let case = format!("{sizes:?} limit={limit} rates={rates} bursts={bursts}");
            assert!(rates <= limit.max(0.1) * 1.001, "{case}");
            assert!(bursts <= known_entries as f64, "{case}");
        }
    }
}

#[test]
fn what_was_observed_last_counts() {
    let report = |rate: Option<RequestRate>, age| SignalReport {
        server: BackendIncarnation(1),
        limit: Some(LimitReport { rate, age: Millis(age) }),
        draining: false,
    };
    let mut signals = ServerSignals::default();
    assert!(signals.merge(&report(Some(rate(3.0)), 0), Tick(1_000)));
    assert!(!signals.merge(&report(None, 500), Tick(1_200)), "observed before the limit");
    assert_eq!(signals.limit(), Some(rate(3.0)));
    assert!(signals.merge(&report(None, 10), Tick(1_200)));
    assert_eq!(signals.limit(), None);
    let absent = ResponseSignals::default();
    signals.merge(&report(Some(rate(2.0)), 0), Tick(2_000));
    assert!(!signals.apply(absent, ResponseSource::Entry, Tick(2_100)), "a health check");
    assert!(signals.apply(absent, ResponseSource::Caller, Tick(2_200)));
    let malformed = ResponseSignals { limit: Signal::Malformed, ..absent };
    signals.merge(&report(Some(rate(2.0)), 0), Tick(3_000));
    assert!(!signals.apply(malformed, ResponseSource::Caller, Tick(3_100)));
    assert_eq!(signals.limit(), Some(rate(2.0)));
}

#[test]
fn rates_are_parsed_and_printed() {
    assert_eq!("2.3".parse(), Ok(rate(2.3)));
    assert_eq!(rate(2.3).to_string(), "2.3");
    for text in ["", "-1", "NaN", "inf", "1e400", "many", "2,3"] {
        assert!(text.parse::<RequestRate>().is_err(), "{text}");
    }
}

/// An entry that is gone leaves its slices to the others, who keep theirs.
#[test]
fn loss_of_an_entry_moves_only_its_share() {
    fn property(server: u64, lost: usize) -> TestResult {
        let before = fleet(&[21]);
        let domain = before.keys().next().cloned().expect("a domain");
        let lost = lost % 21;
        let mut after = before.clone();
        after.get_mut(&domain).expect("the domain").remove(lost);
        let [before, after] = [before, after].map(|fleet| shares(&fleet, server, 5.0));
        let kept = before.iter().enumerate().filter(|(n, _)| *n != lost).map(|(_, share)| share.0);
        TestResult::from_bool(kept.zip(after).all(|(before, after)| after.0 >= before - 1e-9))
    }
    seeded(43_012).quickcheck(property as fn(u64, usize) -> TestResult);
}
