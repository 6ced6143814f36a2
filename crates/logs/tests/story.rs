//! Tests of log parsing and of the timeline of one request.

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
no timestamp
";

fn lines(log: &str) -> Vec<LogLine> {
    let file: Arc<str> = "one.log".into();
    log.lines().filter_map(|line| LogLine::parse(line, &file)).collect()
}

fn timeline_texts(request: &str) -> Vec<String> {
    let timeline =
        RequestTimeline::from_lines(request, &lines(LOG)).expect("the request has log lines");
    timeline.entries().iter().map(|entry| entry.line.text.clone()).collect()
}

#[test]
fn timeline_includes_lines_of_the_request_its_backends_and_its_refusal() {
    let texts = timeline_texts("a1");
    let has = |needle: &str| texts.iter().any(|text| text.contains(needle));
    assert!(has("backend=e0 down"), "backend server on the path, down 9 s before the request");
    assert!(has("backend=e1 down"));
    assert!(has("table `op`"), "store failure during the request");
    assert!(has("paths: id=zz"), "capacity line of another request at the time of the refusal");
    assert!(!has("backend=e9"), "backend server that the request did not use");
    assert!(!has("id=a12"), "another request whose id has the same prefix");
    assert!(!has("process: started"), "too long before the request");
    assert_eq!(texts.len(), 8);
}

#[test]
fn timeline_is_sorted_by_time_and_marks_lines_that_mention_the_request() {
    let mut shuffled = lines(LOG);
    shuffled.reverse();
    let timeline = RequestTimeline::from_lines("a1", &shuffled).expect("the request has log lines");
    assert_eq!(timeline.entries().iter().filter(|entry| entry.mentions_request).count(), 3);
    assert!(timeline.entries().is_sorted_by_key(|entry| entry.line.timestamp));
    let shown = timeline.to_string();
    assert!(shown.contains("02:00:29.600 * one.log: [info] stream: id=a1"), "{shown}");
}

#[test]
fn request_without_log_lines_has_no_timeline() {
    assert_eq!(RequestTimeline::from_lines("none", &lines(LOG)), None);
}

#[test]
fn parse_ignores_a_prefix_before_the_timestamp() {
    let file: Arc<str> = "f".into();
    let line = LogLine::parse("  12.345 front-1 [2026-12-04 02:00:00.5] [info] x: y", &file);
    assert_eq!(line.expect("the line has a timestamp").component(), Some("x"));
}

#[test]
fn parse_does_not_panic_on_arbitrary_text() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck passes owned values")]
    fn parses(text: String) -> bool {
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
        .quickcheck(parses as fn(String) -> bool);
}
