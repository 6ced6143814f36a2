//! Measures recovery time: the longest time between two tokens of a stream while its
//! backend server, agent or connection fails.
//!
//! Usage: `cargo run --release -p clementine-e2e --example recovery [ROUNDS [FAULT]]`,
//! after `cargo build --release --workspace`.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use clementine_e2e::{Cluster, ClusterSpec, Fault, eventually};
use serde_json::Value;

/// Default number of measurements per case and fault.
const ROUNDS: usize = 20;

/// Number of tokens of a stream.
const TOKENS: u32 = 60;

/// Number of tokens received before the fault is injected.
const TOKENS_BEFORE_FAULT: usize = 10;

/// Time per token at an engine; a model split into two stages takes twice as long.
const TOKEN_TIME: &str = "10ms";

/// Injected faults; `None` measures a stream without a fault for comparison.
const FAULTS: [Option<Fault>; 6] = [
    None,
    Some(Fault::KillServer),
    Some(Fault::KillAgent),
    Some(Fault::FreezeAgent),
    Some(Fault::SilenceConnection),
    Some(Fault::SilenceAddress),
];

/// A model, and the pool whose backend server fails.
#[derive(Debug, Clone, Copy)]
struct Case {
    model: &'static str,
    pool: &'static str,
}

const CASES: [Case; 3] = [
    Case { model: "key-advisor", pool: "assistants" },
    Case { model: "key-advisor-large", pool: "halves-first" },
    Case { model: "key-advisor-large", pool: "halves-last" },
];

fn spec() -> ClusterSpec {
    ClusterSpec::new(1).engines(3, TOKEN_TIME).stages("halves-first", 2, "0-15", TOKEN_TIME).stages(
        "halves-last",
        2,
        "16-31",
        TOKEN_TIME,
    )
}

/// Returns the index of the backend server of a pool that serves the stream.
async fn busy_backend(cluster: &Cluster, pool: &str) -> usize {
    let has_run = |record: &Value, key: &str| record[key].as_array().is_some_and(|r| !r.is_empty());
    for (index, backend) in cluster.backends.iter().enumerate() {
        let record = backend.record().await;
        if backend.pool() == pool && (has_run(&record, "completions") || has_run(&record, "steps"))
        {
            return index;
        }
    }
    panic!("no backend server of {pool} is busy");
}

/// Returns the longest time between two tokens; `None` if the stream was
/// incomplete.
async fn longest_gap(case: Case, fault: Option<Fault>) -> Option<Duration> {
    let mut cluster = Cluster::start(spec()).await;
    let client = cluster.client(0);
    let count = Rc::new(Cell::new(0));
    let times = Rc::new(RefCell::new(Vec::new()));
    let streaming = {
        let (count, times) = (Rc::clone(&count), Rc::clone(&times));
        let stream = async move {
            let on_token = |n| {
                count.set(n);
                times.borrow_mut().push(Instant::now());
            };
            client.stream_chat(case.model, "Which?", TOKENS, on_token).await
        };
        actix_rt::spawn(stream)
    };
    let started = || {
        let count = Rc::clone(&count);
        async move { count.get() >= TOKENS_BEFORE_FAULT }
    };
    eventually("the stream has enough tokens", started).await;
    let index = busy_backend(&cluster, case.pool).await;
    if let Some(fault) = fault {
        cluster.backends[index].inject(fault);
    }
    let response = streaming.await.ok()??;
    let complete = response.done && response.tokens == TOKENS as usize && response.error.is_none();
    let times = times.borrow();
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
    if complete { gaps.max() } else { None }
}

fn main() {
    let rounds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(ROUNDS);
    let selected = std::env::args().nth(2);
    println!("| model | what fails | fault | median | worst | lost |");
    println!("|---|---|---|---|---|---|");
    for case in CASES {
        for fault in FAULTS {
            let label = fault.map_or("None".to_owned(), |fault| format!("{fault:?}"));
            if selected.as_ref().is_some_and(|selected| *selected != label) {
                continue;
            }
            let mut gaps = Vec::new();
            for _ in 0..rounds {
                gaps.push(actix_rt::System::new().block_on(longest_gap(case, fault)));
            }
            let lost = gaps.iter().filter(|gap| gap.is_none()).count();
            let mut times: Vec<_> = gaps.into_iter().flatten().map(|gap| gap.as_millis()).collect();
            times.sort_unstable();
            let median = times.get(times.len() / 2).copied().unwrap_or(0);
            let worst = times.last().copied().unwrap_or(0);
            let Case { model, pool } = case;
            println!(
                "| {model} | {pool} | {label} | {median} ms | {worst} ms | {lost} of {rounds} |"
            );
        }
    }
}
