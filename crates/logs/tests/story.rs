//! Following one request through log files.

use std::sync::Arc;

use clementine_logs::{LogLine, RequestTimeline};
use quickcheck::{Gen, QuickCheck};

const LOG: &str = "\
[2026-12-04 02:00:00.000] [info] process: started
[2026-12-04 02:00:20.000] [info] fleet: backend=e0 down reason=stalled-run
[2026-12-04 02:00:21.000] [info] fleet: backend=e1 paused reason=refused request=other
[2026-12-04 02:00:29.100] [info] engines: request=a1 waits for backend=e1 says=e0
[2026-12-04 02:00:29.101] [info] fleet: backend=e1 down reason=stalled-run
[2026-12-04 02:00:29.102] [info] fleet: backend=e9 down reason=stalled-run
[2026-12-04 02:00:29.103] [warn] store: table `op` can't be followed
[2026-12-04 02:00:29.150] [info] stream: id=a1 run=1 ended reason=down events=3 path=e0@a:0-3,e4@a:4-7
[2026-12-04 02:00:29.500] [info] paths: id=zz no path stops=2 tokens=9 a:layer=1,holders=0,room=0
[2026-12-04 02:00:29.600] [info] stream: id=a1 route=r outcome=overloaded runs=0
[2026-12-04 02:00:29.900] [info] stream: id=a12 route=r outcome=complete runs=1
not a line
";

fn lines(log: &str) -> Vec<LogLine> {
    let file: Arc<str> = "one.log".into();
    log.lines().filter_map(|line| LogLine::parse(line, &file)).collect()
}

fn told(request: &str) -> Vec<String> {
    let timeline = RequestTimeline::from_lines(request, &lines(LOG)).expect("a story");
    timeline.entries().iter().map(|told| told.line.text.clone()).collect()
}

#[test]
fn a_story_holds_the_request_its_backend_servers_and_what_bound_it() {
    let told = told("a1");
    let has = |part: &str| told.iter().any(|text| text.contains(part));
    assert!(has("backend=e0 down"), "a backend server of its path, 9 s before");
    assert!(has("backend=e1 down"));
    assert!(has("table `op`"), "a dependency lost meanwhile");
    assert!(has("paths: id=zz"), "what bound another request at that time");
    assert!(!has("backend=e9"), "a backend server that it did not meet");
    assert!(!has("id=a12"), "another request whose id begins alike");
    assert!(!has("process: started"), "long before");
    assert_eq!(told.len(), 8);
}

#[test]
fn the_lines_of_its_own_are_marked_and_all_are_in_order_of_time() {
    let mut shuffled = lines(LOG);
    shuffled.reverse();
    let timeline = RequestTimeline::from_lines("a1", &shuffled).expect("a story");
    assert_eq!(timeline.entries().iter().filter(|told| told.mentions_request).count(), 3);
    assert!(timeline.entries().is_sorted_by_key(|told| told.line.timestamp));
    let shown = timeline.to_string();
    assert!(shown.contains("02:00:29.600 * one.log: [info] stream: id=a1"), "{shown}");
}

#[test]
fn a_request_that_no_line_names_has_no_story() {
    assert_eq!(RequestTimeline::from_lines("none", &lines(LOG)), None);
}

#[test]
fn a_time_may_stand_behind_a_prefix() {
    let file: Arc<str> = "f".into();
    let line = LogLine::parse("  12.345 front-1 [2026-12-04 02:00:00.5] [info] x: y", &file);
    assert_eq!(line.expect("a line").component(), Some("x"));
}

#[test]
fn no_text_makes_reading_panic() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck gives owned values")]
    fn reads(text: String) -> bool {
        let file: Arc<str> = "f".into();
        let line = LogLine::parse(&format!("[2026-12-04 02:00:00.5]{text}"), &file);
        line.is_some_and(|line| {
            line.backends().count() <= text.len()
                && line.component().is_none_or(|p| p.len() <= text.len())
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(300)
        .max_tests(300)
        .quickcheck(reads as fn(String) -> bool);
}
