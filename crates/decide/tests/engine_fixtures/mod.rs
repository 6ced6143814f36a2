//! Test fixtures: a deployment of three failure domains with engines of mixed
//! accelerator types.

#![allow(dead_code, reason = "each test file uses only some items")]

use std::net::SocketAddr;

use clementine_decide::fleet::{AcceleratorSpec, Backend, BackendState, EngineSpec};
use clementine_decide::ids::{DomainId, Tick};
use clementine_decide::paths::{
    Demand, LinkUsage, PathCandidate, PathPurpose, PathSearch, PathTargets,
};
use clementine_decide::placement::{LayerHost, context_tokens_per_engine};
use clementine_objects::{LayerRange, Millis};

pub const LAYERS: u32 = 80;

/// Number of engines per accelerator type in each failure domain.
pub const DOMAINS: [(&str, &[(&str, u32)]); 3] = [
    ("a", &[("medium", 1), ("small", 8), ("tiny", 3)]),
    ("b", &[("medium", 2), ("small", 4), ("tiny", 7)]),
    ("c", &[("large", 1), ("medium", 1), ("small", 5), ("tiny", 7)]),
];

pub fn spec() -> EngineSpec {
    let accelerator = |id: &str, memory_mb, step_factor, prefill_factor| AcceleratorSpec {
        id: id.into(),
        memory_mb,
        step_factor,
        prefill_factor,
    };
    let delay = |a: &str, b: &str| (DomainId::from(a), DomainId::from(b), 0.62);
    EngineSpec {
        layers: LAYERS,
        layer_mb: 1_750.0,
        kv_bytes_per_token: 590_000.0,
        step_ms: 0.85,
        step_ms_per_request: 0.004,
        step_ms_per_kilotoken: 0.005,
        prefill_tokens_per_ms: 196.0,
        load_time: Millis(14_000),
        max_concurrent_loads: 6,
        activation_bytes: 29_500.0,
        domain_link_bytes_per_ms: 1_625_000.0,
        delays: vec![delay("a", "b"), delay("a", "c"), delay("b", "c")],
        typical_prompt_tokens: 772,
        typical_output_tokens: 167,
        accelerators: vec![
            accelerator("large", 72_000.0, 1.4, 1.0),
            accelerator("medium", 36_000.0, 3.1, 3.2),
            accelerator("small", 21_600.0, 16.0, 8.2),
            accelerator("tiny", 14_400.0, 15.0, 15.0),
        ],
    }
}

/// All engines of the deployment, without layers.
pub fn hosts(spec: &EngineSpec) -> Vec<LayerHost> {
    let mut hosts = Vec::new();
    for (domain, accelerators) in DOMAINS {
        let accelerators: Vec<&AcceleratorSpec> = accelerators
            .iter()
            .flat_map(|(id, count)| {
                vec![spec.accelerator(&(*id).into()).expect("an accelerator"); *count as usize]
            })
            .collect();
        let context = context_tokens_per_engine(spec, &accelerators, 192);
        for (n, accelerator) in accelerators.into_iter().enumerate() {
            let max_layers = spec.max_layers(accelerator, context);
            hosts.push(LayerHost {
                id: format!("{domain}-{n}-{}", accelerator.id).as_str().into(),
                domain: domain.into(),
                max_layers,
                context_tokens: spec.context_capacity(accelerator, max_layers),
                layers: None,
                loading: false,
            });
        }
    }
    hosts
}

pub fn range(from: u32, end: u32) -> LayerRange {
    LayerRange::half_open(from, end).expect("a range")
}

pub fn address(n: usize) -> SocketAddr {
    format!("10.0.{}.{}:8080", n / 250, n % 250 + 1).parse().expect("an address")
}

pub fn candidate(n: usize, domain: &str, layers: LayerRange) -> PathCandidate {
    PathCandidate {
        id: format!("engine-{n}").as_str().into(),
        address: address(n),
        domain: domain.into(),
        layers,
        step_ms: 10.0,
        step_ms_per_request: 0.0,
        running: 0.0,
        prefill_ms_per_token: 0.02,
        capacity_tokens: 60_000.0,
        used_tokens: 0.0,
        free_slots: 192,
        prefill_backlog_ms: 0.0,
        cached_prompt_tokens: 0.0,
        cached_layers: None,
    }
}

/// Search for the path of a new request without targets, at the only entry.
pub fn new_request<'a>(
    spec: &'a EngineSpec,
    candidates: &'a [PathCandidate],
    links: &'a LinkUsage,
    demand: Demand,
) -> PathSearch<'a> {
    PathSearch {
        spec,
        candidates,
        links,
        demand,
        targets: PathTargets::default(),
        purpose: PathPurpose::NewRequest,
        entries: 1,
        allowed_first: &[],
        current_path: &[],
        now: Tick(0),
    }
}

pub fn backend(id: &str, pool: &str) -> Backend {
    Backend {
        id: id.into(),
        pool: pool.into(),
        address: address(1),
        domain: "a".into(),
        state: BackendState::Ready,
        slots: 6,
        started_ms: Some(1),
        accelerator: None,
        layers: None,
        orders_started: 0,
    }
}
