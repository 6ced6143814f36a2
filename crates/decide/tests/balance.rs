//! Load balancing: selection, passive health checks, subsets and stage chains.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use clementine_decide::balance::{
    Candidate, Exclusions, LoadReport, PassiveHealth, PassiveHealthLimits, choose, choose_subset,
};
use clementine_decide::ids::{AgentRef, Epoch, IncarnationId, Tick};
use clementine_decide::stage::{StagePool, plan_chain};
use clementine_objects::{LayerRange, Millis};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 1))
}

fn candidate(n: u8) -> Candidate {
    Candidate {
        agent: AgentRef {
            address: address(n),
            incarnation: IncarnationId(u128::from(n)),
            epoch: Epoch(0),
        },
        domain: format!("domain-{}", n % 3).into(),
        load: LoadReport { running: 0, queued: 0, slots: 4, service_time: Millis(10) },
        outstanding: 0,
        round_trip_us: 100,
        suspected: false,
    }
}

/// Addresses selected in 200 random draws.
fn selected(candidates: &[Candidate], exclusions: &Exclusions) -> BTreeSet<SocketAddr> {
    let mut rng = SmallRng::seed_from_u64(7);
    let draws = (0..200).filter_map(|_| choose(candidates, exclusions, &mut rng));
    draws.map(|agent| agent.address).collect()
}

#[test]
fn the_candidate_with_the_least_expected_delay_is_selected() {
    let mut candidates = vec![candidate(1), candidate(2), candidate(3)];
    candidates[0].load.running = 8;
    candidates[1].outstanding = 8;
    assert_eq!(selected(&candidates, &Exclusions::default()), BTreeSet::from([address(3)]));
    candidates[2].round_trip_us = 1_000_000;
    assert_eq!(
        selected(&candidates, &Exclusions::default()),
        BTreeSet::from([address(1), address(2)])
    );
}

#[test]
fn tried_failed_and_suspected_candidates_are_avoided() {
    let mut candidates: Vec<_> = (1..=6).map(candidate).collect();
    let tried = Exclusions { tried: vec![candidates[0].agent], failed_domains: Vec::new() };
    assert!(!selected(&candidates, &tried).contains(&address(1)));
    let domain = Exclusions { tried: Vec::new(), failed_domains: vec!["domain-1".into()] };
    assert!(selected(&candidates, &domain).is_disjoint(&BTreeSet::from([address(1), address(4)])));
    candidates[1].suspected = true;
    assert!(!selected(&candidates, &Exclusions::default()).contains(&address(2)));
    let all =
        Exclusions { tried: candidates.iter().map(|c| c.agent).collect(), ..Exclusions::default() };
    assert!(selected(&candidates, &all).is_empty());
}

#[test]
fn suspicion_is_ignored_above_the_panic_threshold() {
    let mut candidates: Vec<_> = (1..=4).map(candidate).collect();
    for suspect in &mut candidates[..3] {
        suspect.suspected = true;
    }
    assert_eq!(selected(&candidates, &Exclusions::default()).len(), 4);
}

#[test]
fn suspicions_double_and_end_with_a_success() {
    let mut health = PassiveHealth::new(PassiveHealthLimits::default());
    let mut now = Tick(0);
    for length in [500, 1_000, 2_000, 4_000, 8_000, 8_000] {
        health.record_failure(now);
        assert!(health.is_suspected(now.after(Millis(length - 1))), "{length}");
        now = now.after(Millis(length));
        assert!(!health.is_suspected(now), "{length}");
    }
    health.record_failure(now);
    health.record_success();
    assert!(!health.is_suspected(now));
}

#[test]
fn subsets_are_balanced_over_domains_and_stable() {
    let members = |count: u8| -> BTreeMap<_, _> {
        (1..=count).map(|n| (address(n), format!("domain-{}", n % 3).into())).collect()
    };
    for seed in 0..20 {
        let before: BTreeSet<_> = choose_subset(&members(90), 12, seed).into_iter().collect();
        assert_eq!(before.len(), 12);
        for domain in 0..3 {
            let of_domain = |a: &&SocketAddr| matches!(a.ip(), std::net::IpAddr::V4(ip) if ip.octets()[3] % 3 == domain);
            assert_eq!(before.iter().filter(of_domain).count(), 4, "seed {seed}");
        }
        let after: BTreeSet<_> = choose_subset(&members(91), 12, seed).into_iter().collect();
        assert!(before.difference(&after).count() <= 1, "seed {seed}");
    }
    assert_eq!(choose_subset(&members(5), 12, 1).len(), 5);
}

fn pool(first: u32, last: u32, agents: &[(u8, u64)]) -> StagePool {
    let candidates = agents
        .iter()
        .map(|(n, round_trip_us)| Candidate { round_trip_us: *round_trip_us, ..candidate(*n) });
    let layers = LayerRange::new(first, last).expect("valid range");
    StagePool { layers, candidates: candidates.collect() }
}

#[test]
fn chains_cover_all_layers_with_the_least_delay() {
    let slow = [pool(0, 31, &[(1, 900_000)])];
    let halves = [pool(0, 15, &[(2, 100), (3, 50)]), pool(16, 31, &[(4, 100)])];
    let thirds = [pool(0, 9, &[(5, 10)]), pool(10, 31, &[])];
    let all: Vec<_> = slow.iter().chain(&halves).chain(&thirds).cloned().collect();
    let chain = plan_chain(32, &all).expect("chain");
    let first = |stage: &clementine_decide::stage::PlannedStage| stage.agents[0].address;
    let stages: Vec<_> =
        chain.iter().map(|stage| (stage.layers.to_string(), first(stage))).collect();
    assert_eq!(stages, [("0-15".to_owned(), address(3)), ("16-31".to_owned(), address(4))]);
    assert_eq!(chain[0].agents.len(), 2);
    assert_eq!(plan_chain(32, &slow).expect("chain").len(), 1);
    assert_eq!(plan_chain(32, &thirds), None);
    assert_eq!(plan_chain(33, &all), None);
}
