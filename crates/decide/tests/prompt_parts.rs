//! Parts of prompts under which backend servers crash, as entries find them out together.

mod crash_exchange;
mod seeded;

use std::collections::BTreeMap;

use clementine_decide::fleet::BackendIncarnation;
use clementine_decide::ids::{PromptPart, Tick};
use clementine_decide::peers::{
    BackendHash, Condition, Sighting, UrgentMessage, UrgentMessages, send_interval,
};
use clementine_decide::quarantine::{
    Admission, CrashEvidence, CrashLog, Fingerprint, RunSuspects, Suspect, SuspectChange,
};
use clementine_objects::Millis;
use crash_exchange::exchange;
use seeded::seeded;

/// The part that crashes servers.
const BAD: PromptPart = PromptPart(0xbad0_0000_0000);
/// A part of requests with the bad one and of sound ones.
const COMMON: PromptPart = PromptPart(0xc000_0000_0000);
/// A part of sound requests.
const SOUND: PromptPart = PromptPart(0x5000_0000_0000);
const PROBE_INTERVAL: Millis = Millis(1_000);

/// A run of a request that is like no other, with these parts.
fn run(n: u128, parts: &[PromptPart]) -> RunSuspects {
    RunSuspects::new(Fingerprint(n), parts.to_vec())
}

fn crash(log: &mut CrashLog, suspects: &RunSuspects, server: u64, now: Tick) -> Vec<SuspectChange> {
    let server = BackendIncarnation(server);
    log.record_crash(suspects, server, CrashEvidence::Certain, now).changes
}

fn is_admitted(log: &mut CrashLog, parts: &[PromptPart], now: Tick) -> bool {
    log.admit(&run(9_999, parts), now, PROBE_INTERVAL) == Admission::Admitted
}

/// A log after this many crashes under requests with the common and the bad part.
fn log_after(crashes: u64, answered: &[PromptPart]) -> CrashLog {
    let mut log = CrashLog::default();
    log.record_response_begun(answered, Tick(0));
    for n in 1..=crashes {
        crash(&mut log, &run(n.into(), &[COMMON, BAD]), n, Tick(10 * n));
    }
    log
}

#[test]
fn part_is_refused_after_three_crashes_and_answered_ones_are_not() {
    let mut log = log_after(2, &[COMMON]);
    assert!(is_admitted(&mut log, &[COMMON, BAD], Tick(30)));
    let changes = crash(&mut log, &run(3, &[COMMON, BAD]), 3, Tick(30));
    assert_eq!(changes, [SuspectChange::Quarantined(Suspect::Part(BAD))]);
    assert!(!is_admitted(&mut log, &[COMMON, BAD], Tick(31)));
    assert!(is_admitted(&mut log, &[COMMON, SOUND], Tick(31)));
    assert!(is_admitted(&mut log, &[COMMON], Tick(31)));
}

#[test]
fn part_that_was_answered_once_is_refused_after_five_crashes_without_an_answer() {
    let mut log = CrashLog::default();
    log.record_response_begun(&[BAD], Tick(0));
    for n in 1..=4 {
        crash(&mut log, &run(n.into(), &[BAD]), n, Tick(10 * n));
    }
    assert!(is_admitted(&mut log, &[BAD], Tick(40)));
    log.record_response_begun(&[BAD], Tick(41));
    for n in 5..=8 {
        crash(&mut log, &run(n.into(), &[BAD]), n, Tick(10 * n));
    }
    assert!(is_admitted(&mut log, &[BAD], Tick(80)), "four since the last answer");
    crash(&mut log, &run(9, &[BAD]), 9, Tick(90));
    assert!(!is_admitted(&mut log, &[BAD], Tick(90)));
}

#[test]
fn two_parts_that_always_came_together_are_told_apart_by_one_probe() {
    let mut log = log_after(5, &[]);
    assert!(!is_admitted(&mut log, &[COMMON, SOUND], Tick(60)), "as suspect as the bad one");
    assert!(!is_admitted(&mut log, &[BAD], Tick(60)));
    let probed = run(20, &[COMMON, SOUND]);
    let due = Tick(60).after(PROBE_INTERVAL);
    assert_eq!(log.admit(&probed, due, PROBE_INTERVAL), Admission::Probe(Suspect::Part(COMMON)));
    assert!(!is_admitted(&mut log, &[COMMON, SOUND], due), "one at a time");
    let changes = log.record_response_begun(&[COMMON, SOUND], due);
    assert_eq!(changes, [SuspectChange::Cleared(Suspect::Part(COMMON))]);
    assert!(is_admitted(&mut log, &[COMMON, SOUND], due));
    assert!(!is_admitted(&mut log, &[COMMON, BAD], due));
}

#[test]
fn part_with_more_crashes_explains_those_of_the_other() {
    let mut log = log_after(5, &[]);
    crash(&mut log, &run(20, &[BAD]), 6, Tick(60));
    assert!(is_admitted(&mut log, &[COMMON, SOUND], Tick(61)));
    assert!(!is_admitted(&mut log, &[BAD], Tick(61)));
}

/// Requests that ran beside the culprit on two servers are not refused once the part
/// is known.
#[test]
fn bystanders_of_a_crashing_part_are_served() {
    let mut log = log_after(3, &[COMMON]);
    let bystander = run(50, &[SOUND]);
    for server in [1, 2] {
        crash(&mut log, &bystander, server, Tick(10 * server));
    }
    assert!(!log.is_quarantined(&bystander, Tick(40)));
    crash(&mut log, &bystander, 77, Tick(50));
    assert!(log.is_quarantined(&bystander, Tick(50)), "the part does not explain this one");
}

#[test]
fn part_is_probed_until_five_crashes_are_certain() {
    let mut log = log_after(3, &[COMMON]);
    let suspects = run(20, &[COMMON, BAD]);
    let mut now = Tick(100);
    let mut probes = 0;
    for _ in 0..100 {
        if matches!(log.admit(&suspects, now, PROBE_INTERVAL), Admission::Probe(_)) {
            probes += 1;
            crash(&mut log, &suspects, 100 + probes, now);
        }
        now = now.after(Millis(500));
    }
    assert_eq!(probes, 2, "three crashes and two probes are five");
}

/// A request that was admitted earlier is refused late without being sent. It must not
/// use up the turn of the request that would tell whether the part is the cause.
#[test]
fn late_refusal_does_not_take_the_turn_of_a_probe() {
    let mut log = log_after(3, &[COMMON]);
    let suspects = run(20, &[COMMON, BAD]);
    assert!(!is_admitted(&mut log, &[COMMON, BAD], Tick(100)), "starts the interval");
    let due = Tick(100).after(PROBE_INTERVAL);
    let refusal = log.refusal(&suspects, due).expect("the part is refused");
    assert_eq!((refusal.suspect, refusal.is_probed), (Suspect::Part(BAD), true));
    let probe = Admission::Probe(Suspect::Part(BAD));
    assert_eq!(log.admit(&suspects, due, PROBE_INTERVAL), probe);
    assert_eq!(log.refusal(&run(21, &[COMMON, SOUND]), due), None);
    assert_eq!(log.admit(&suspects, due, PROBE_INTERVAL), Admission::Refused(refusal));
}

/// Two engines are lost under 200 runs without an event. Each run has a part without a
/// response, so that the second loss is an urgent report for each. The queue was full of
/// them, and the report that the next engine is down was dropped.
#[test]
fn urgent_crash_reports_do_not_displace_reports_that_engines_are_down() {
    let mut log = CrashLog::default();
    let mut queue = UrgentMessages::default();
    for server in [1, 2] {
        for n in 0..200 {
            for change in crash(&mut log, &run(n, &[PromptPart(n as u64)]), server, Tick(server)) {
                let report = log.report_on(change.suspect(), Tick(server)).expect("a report");
                queue.push(UrgentMessage::Crashes(report));
            }
        }
    }
    let down = UrgentMessage::Sighting(Sighting {
        backend: BackendHash(3),
        condition: Condition::Down,
        observer: "one".into(),
        within_domain: true,
    });
    assert!(queue.push(down.clone()), "there is room for it");
    assert_eq!(queue.pop(), Some(down), "it is sent first");
    let crashes = std::iter::from_fn(|| queue.pop()).count();
    assert_eq!(crashes, 64, "the queue is bounded");
}

/// The log of an entry, which differs from one number to the next.
fn entry(domains: &mut [Vec<CrashLog>], n: u64) -> &mut CrashLog {
    let domain = (n % domains.len() as u64) as usize;
    let rank = (n / domains.len() as u64) as usize % domains[domain].len();
    &mut domains[domain][rank]
}

/// Sends requests at all entries in turn, half of them with the bad part, while entries tell
/// each other in rounds. Returns the number of servers that crashed.
fn crashes_in_a_fleet(sizes: &[usize]) -> u64 {
    /// Time between two requests with the bad part.
    const ARRIVAL_INTERVAL: u64 = 40;
    /// Other requests that run on a server when it crashes.
    const BYSTANDERS: u64 = 20;
    /// Those of them whose response has begun without an event so far.
    const BEGUN_BYSTANDERS: u64 = 3;
    let entries = sizes.iter().sum::<usize>() as u64;
    let mut domains: Vec<Vec<CrashLog>> =
        sizes.iter().map(|n| (0..*n).map(|_| CrashLog::default()).collect()).collect();
    let interval = send_interval(entries.min(25) as usize);
    let (mut crashes, mut round) = (0, 0);
    for tick in (0..10_000).step_by(ARRIVAL_INTERVAL as usize) {
        let now = Tick(tick);
        let n = tick / ARRIVAL_INTERVAL;
        let log = entry(&mut domains, n);
        let suspects = run(n.into(), &[COMMON, BAD]).with_begun(true);
        if log.admit(&suspects, now, Millis(1_000 * entries)) == Admission::Admitted {
            crashes += 1;
            crash(log, &suspects, crashes, now);
            for other in 0..BYSTANDERS {
                let own = 1_000_000 + n * BYSTANDERS + other;
                let bystander =
                    run(own.into(), &[PromptPart(own)]).with_begun(other < BEGUN_BYSTANDERS);
                crash(entry(&mut domains, n + other), &bystander, crashes, now);
            }
        }
        entry(&mut domains, n + 1).record_response_begun(&[COMMON], now);
        if tick >= round * interval.0 {
            exchange(&mut domains, round, now);
            round += 1;
        }
    }
    let end = Tick(10_000);
    let logs: Vec<&mut CrashLog> = domains.iter_mut().flatten().collect();
    for log in logs {
        assert!(!is_admitted(log, &[COMMON, BAD], end), "every entry refuses the bad part");
        assert!(is_admitted(log, &[COMMON, SOUND], end), "no entry refuses the common one");
    }
    crashes
}

/// Requests arrive every 40 ms, so that as many as fit into the time of some rounds
/// reach servers before all entries know.
#[test]
fn entries_find_a_crashing_part_at_any_size() {
    const STABLE_WINDOW: u64 = 3_000;
    const ARRIVAL_INTERVAL: u64 = 40;
    for sizes in [vec![1, 1], vec![2, 1, 1], vec![10, 9, 9], vec![21, 21, 21, 20, 20]] {
        let crashes = crashes_in_a_fleet(&sizes);
        let allowed = 3..=5 + STABLE_WINDOW / ARRIVAL_INTERVAL;
        assert!(allowed.contains(&crashes), "{sizes:?}: {crashes}");
    }
}

/// Guards against crashes that a process which has just started doesn't count, because
/// they and an older answer all happened before its clock began.
#[test]
fn crashes_and_an_older_answer_before_the_start_keep_their_order() {
    let mut log = CrashLog::default();
    let answered_at = Tick::START.after(Millis(100_000));
    log.record_response_begun(&[BAD], answered_at);
    for n in 1..=5 {
        crash(&mut log, &run(n.into(), &[BAD]), n, answered_at.after(Millis(10 * n)));
    }
    let now = answered_at.after(Millis(1_000));
    let report = log.report_on(Suspect::Part(BAD), now).expect("a report");
    let mut restarted = CrashLog::default();
    let just_started = Tick::START.after(Millis(500));
    restarted.merge(&report, just_started);
    assert!(log.is_quarantined(&run(9, &[BAD]), now));
    assert!(restarted.is_quarantined(&run(9, &[BAD]), just_started));
}

/// Guards against a saved part that replaces another one in its row: an entry that is
/// started refuses only the last one then.
#[test]
fn each_refused_part_is_saved_beside_the_others() {
    let mut log = CrashLog::default();
    let parts: Vec<PromptPart> = (0..200).map(|n| PromptPart(0xbad0_0000 + n)).collect();
    let mut rows = BTreeMap::new();
    let mut server = 0;
    let mut now = Tick::START;
    for part in &parts {
        for _ in 0..3 {
            server += 1;
            now = now.after(Millis(10));
            for change in crash(&mut log, &run(server.into(), &[*part]), server, now) {
                let slot = change.suspect().slot();
                rows.insert(slot, log.reports_to_save(slot, now));
            }
        }
    }
    let mut restarted = CrashLog::default();
    for report in rows.values().flatten() {
        restarted.merge(report, Tick::START);
    }
    for part in parts {
        let suspects = run(0xffff, &[part]);
        assert!(log.is_quarantined(&suspects, now), "{part} before");
        assert!(restarted.is_quarantined(&suspects, Tick::START), "{part} after the restart");
    }
}

/// Whether two entries, each of which saw some of the events, agree with one that saw all
/// on what is refused, after they have exchanged reports. An event names an entry, a part
/// and whether a response began or a server crashed.
fn entries_agree(events: &[(u8, u8, bool)]) -> bool {
    let mut logs = [CrashLog::default(), CrashLog::default()];
    let mut all = CrashLog::default();
    for (n, (entry, part, answered)) in events.iter().take(12).enumerate() {
        let now = Tick(10 * n as u64);
        let parts = [PromptPart(u64::from(part % 3))];
        let log = &mut logs[usize::from(entry % 2)];
        if *answered && n % 2 == 0 {
            log.record_response_begun(&parts, now);
            all.record_response_begun(&parts, now);
        } else {
            crash(log, &run(n as u128, &parts), n as u64, now);
            crash(&mut all, &run(n as u128, &parts), n as u64, now);
        }
    }
    let now = Tick(1_000);
    let [a, b] = &mut logs;
    for _ in 0..4 {
        for report in a.next_reports(100, now) {
            b.merge(&report, now);
        }
        for report in b.next_reports(100, now) {
            a.merge(&report, now);
        }
    }
    (0..3).all(|part| {
        let suspects = run(9_999, &[PromptPart(part)]);
        let refused = all.is_quarantined(&suspects, now);
        logs.iter().all(|log| log.is_quarantined(&suspects, now) == refused)
    })
}

/// Guards against a part that stays refused at one entry because the other one doesn't
/// tell it of a later response.
#[test]
fn later_response_of_another_entry_ends_the_refusal() {
    let found = [
        [
            (3, 0, true),
            (0, 1, false),
            (0, 1, false),
            (3, 0, false),
            (0, 0, true),
            (1, 0, false),
            (7, 0, false),
            (15, 0, false),
            (0, 1, false),
            (3, 0, false),
            (0, 0, true),
        ],
        [
            (7, 0, true),
            (0, 1, false),
            (0, 1, false),
            (3, 0, false),
            (0, 0, true),
            (3, 0, false),
            (0, 1, false),
            (31, 0, false),
            (3, 0, false),
            (15, 0, false),
            (0, 0, true),
        ],
    ];
    for events in found {
        assert!(entries_agree(&events), "{events:?}");
    }
}

/// Whatever order reports come in, entries agree on what is refused.
#[test]
fn entries_agree_whatever_the_order_of_reports() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck passes arguments by value")]
    fn holds(events: Vec<(u8, u8, bool)>) -> bool {
        entries_agree(&events)
    }
    seeded(43_008).quickcheck(holds as fn(Vec<(u8, u8, bool)>) -> bool);
}
