//! Spill-over between failure domains: a domain with more demand than its engines can
//! serve uses those of others while the links carry it.

mod engine_fixtures;

use std::collections::HashSet;

use clementine_decide::ids::Tick;
use clementine_decide::paths::{
    Demand, Link, LinkUsage, PathCandidate, PathPurpose, PathSearch, PathStage, PathTargets,
};
use clementine_objects::Millis;
use engine_fixtures::{LAYERS, candidate, range, spec};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Uses a link between failure domains for 20 ms.
const SHORT: f64 = 1_000.0;
/// Uses a link between failure domains for 91 ms.
const LONG: f64 = 4_900.0;

/// Path of a request if the link between the domains is in use to some extent.
fn path(
    candidates: &[PathCandidate],
    prompt_tokens: f64,
    link_use: f64,
    gap: Option<Millis>,
) -> Option<Vec<PathStage>> {
    let spec = spec();
    let mut links = LinkUsage::default();
    let link = Link::between(&"a".into(), &"b".into());
    links.set_remote([(link, link_use * spec.domain_link_bytes_per_ms)].into());
    let search = PathSearch {
        spec: &spec,
        candidates,
        links: &links,
        demand: Demand { prompt_tokens, output_tokens: 100.0 },
        targets: PathTargets { gap, ..PathTargets::default() },
        purpose: PathPurpose::NewRequest,
        entries: 28,
        allowed_first: &[],
        current_path: &[],
        now: Tick(0),
    };
    Some(search.choose_path(&mut SmallRng::seed_from_u64(1))?.stages)
}

/// Two failure domains of which each lacks KV cache for one half of the layers.
fn split_capacity() -> Vec<PathCandidate> {
    let mut candidates = vec![
        candidate(0, "a", range(0, 40)),
        candidate(1, "a", range(40, LAYERS)),
        candidate(2, "b", range(0, 40)),
        candidate(3, "b", range(40, LAYERS)),
    ];
    candidates[1].used_tokens = 56_900.0;
    candidates[2].used_tokens = 56_900.0;
    candidates
}

/// Guards against refusals while another domain has capacity: a wave of load in one
/// domain fills its engines.
#[test]
fn load_of_a_full_domain_goes_to_another_one_without_using_the_link() {
    let mut candidates = split_capacity();
    candidates[0].used_tokens = 56_900.0;
    candidates[2].used_tokens = 0.0;
    for prompt in [SHORT, LONG] {
        let path = path(&candidates, prompt, 1.0, Some(Millis(250))).expect("a path");
        let used: HashSet<&str> = path.iter().map(|stage| stage.id.as_str()).collect();
        assert_eq!(used, HashSet::from(["engine-2", "engine-3"]));
    }
}

/// Guards against refusals of long prompts while the links are hardly in use.
#[test]
fn long_prompts_cross_a_link_that_has_room_before_they_are_refused() {
    let candidates = split_capacity();
    let gap = Some(Millis(250));
    assert!(path(&candidates, LONG, 0.15, gap).is_some());
    assert!(path(&candidates, LONG, 0.24, gap).is_some());
    assert!(path(&candidates, LONG, 0.26, gap).is_none(), "tokens of others would wait");
    assert!(path(&candidates, SHORT, 0.5, gap).is_some());
    assert!(path(&candidates, SHORT, 0.7, gap).is_none(), "the link can't carry more");
}

/// A transfer that takes most of the gap would make the streams on the link late.
#[test]
fn prompts_that_block_a_link_for_most_of_the_gap_stay_off_busy_links() {
    let candidates = split_capacity();
    assert!(path(&candidates, LONG, 0.05, Some(Millis(150))).is_some());
    assert!(path(&candidates, LONG, 0.15, Some(Millis(150))).is_none());
    assert!(path(&candidates, LONG, 0.15, None).is_none());
}
