//! Random interleavings of attempts at one operation, with lost and late
//! answers of the table service, crashed entries, and replaced agents that
//! wake up. The service's own record is the oracle.

mod operation_sim;
mod support;

use std::cell::RefCell;
use std::collections::BTreeMap;

use clementine_decide::operation::OperationResult;
use clementine_decide::outcome::{ErrorKind, Outcome};
use operation_sim::{AttemptResult, Simulation, run_interleaving};

thread_local! {
    static OUTCOMES: RefCell<BTreeMap<String, u64>> = RefCell::default();
}

#[test]
fn runs_at_most_once_and_tells_the_truth() {
    support::interleavings(4_711).quickcheck(check as fn(Vec<u16>) -> bool);
    OUTCOMES.with_borrow(|outcomes| println!("outcomes: {outcomes:?}"));
}

fn check(choices: Vec<u16>) -> bool {
    let (sim, results) = run_interleaving(choices);
    let sim = sim.borrow();
    for result in &results {
        count(result, &sim);
    }
    let once = sim.service_runs.len() <= 1;
    once && results.iter().all(|result| is_truthful(result, &results, &sim))
}

/// Compares what an attempt was told with the service's record.
fn is_truthful(result: &AttemptResult, all: &[AttemptResult], sim: &Simulation) -> bool {
    let ran_here = result.tokens.iter().any(|token| sim.service_runs.contains(token));
    match &result.settled {
        None => true,
        Some(OperationResult::Answered { response, .. }) => {
            let Some(ran) = sim.service_runs.first() else { return false };
            let owner = all.iter().find(|attempt| attempt.tokens.contains(ran));
            let same_request = owner.is_some_and(|owner| owner.digest == result.digest);
            response.body == ran.to_string().into_bytes() && same_request
        }
        Some(OperationResult::Failed { kind: ErrorKind::KeyReused, .. }) => !ran_here,
        // Neither this attempt nor one that was over before may have run.
        Some(settled) => {
            settled.outcome() != Outcome::NotRun || (!ran_here && result.runs_before == 0)
        }
    }
}

fn count(result: &AttemptResult, sim: &Simulation) {
    let Some(settled) = &result.settled else { return };
    let ran = if sim.service_runs.is_empty() { "nothing ran" } else { "it ran" };
    let label = match settled {
        OperationResult::Answered { source, .. } => format!("ran by {source:?}"),
        OperationResult::Failed { kind, .. } => format!("{} {kind:?}, {ran}", settled.outcome()),
    };
    OUTCOMES.with_borrow_mut(|outcomes| *outcomes.entry(label).or_default() += 1);
}

#[test]
fn every_attempt_is_settled_when_faults_end() {
    let settles = |choices: Vec<u16>| {
        let (sim, results) = run_interleaving(choices);
        let none_pending = sim.borrow().calls.is_empty();
        none_pending && results.iter().all(|result| result.crashed || result.settled.is_some())
    };
    support::interleavings(31).quickcheck(settles as fn(Vec<u16>) -> bool);
}
