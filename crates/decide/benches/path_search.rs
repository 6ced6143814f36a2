//! Time of one path decision at different numbers of engines.

#[path = "../tests/engine_fixtures/mod.rs"]
mod engine_fixtures;

use std::hint::black_box;

use clementine_decide::ids::Tick;
use clementine_decide::paths::{
    Demand, LinkUsage, PathCandidate, PathPurpose, PathSearch, PathTargets,
};
use clementine_objects::Millis;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use engine_fixtures::{LAYERS, candidate, range, spec};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const DEMAND: Demand = Demand { prompt_tokens: 760.0, output_tokens: 168.0 };
const TARGETS: PathTargets = PathTargets {
    first_event: Some(Millis(600)),
    gap: Some(Millis(250)),
    time_left: Some(Millis(15_000)),
};
const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Engines that each hold a range of 8 or 12 layers, as many in each domain.
fn engines(count: usize) -> Vec<PathCandidate> {
    let engine = |n: usize| {
        let size = if n.is_multiple_of(2) { 8 } else { 12 };
        let from = (n as u32 * 7) % (LAYERS - size + 1);
        candidate(n, DOMAINS[n % DOMAINS.len()], range(from, from + size))
    };
    (0..count).map(engine).collect()
}

fn path_search(c: &mut Criterion) {
    let spec = spec();
    let links = LinkUsage::default();
    let mut group = c.benchmark_group("path_search");
    for count in [40, 130, 1_300] {
        let candidates = engines(count);
        let search = PathSearch {
            spec: &spec,
            candidates: &candidates,
            links: &links,
            demand: DEMAND,
            targets: TARGETS,
            purpose: PathPurpose::NewRequest,
            entries: 28,
            allowed_first: &[],
            current_path: &[],
            now: Tick(0),
        };
        let mut rng = SmallRng::seed_from_u64(1);
        group.bench_with_input(BenchmarkId::from_parameter(count), &search, |b, search| {
            b.iter(|| black_box(search.choose_path(&mut rng)));
        });
    }
    group.finish();
}

criterion_group!(benches, path_search);
criterion_main!(benches);
