//! Guards against an operation being executed twice, and against a caller being
//! told the wrong outcome. Random interleavings of attempts at one operation
//! include lost and delayed writes to the table service, crashing entries, and
//! replaced agents that resume. Outcomes are compared with the service's record
//! of executed work.

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
fn executes_at_most_once_and_reports_the_true_outcome() {
    support::interleavings(4_711).quickcheck(check as fn(Vec<u16>) -> bool);
    OUTCOMES.with_borrow(|outcomes| println!("outcomes: {outcomes:?}"));
}

fn check(choices: Vec<u16>) -> bool {
    let (sim, results) = run_interleaving(choices);
    let sim = sim.borrow();
    for result in &results {
        count(result, &sim);
    }
    let at_most_once = sim.service_runs.len() <= 1;
    at_most_once && results.iter().all(|result| is_truthful(result, &results, &sim))
}

/// Whether the result of an attempt agrees with the service's record.
fn is_truthful(result: &AttemptResult, all: &[AttemptResult], sim: &Simulation) -> bool {
    let ran_here = result.tokens.iter().any(|token| sim.service_runs.contains(token));
    match &result.operation_result {
        None => true,
        Some(OperationResult::Answered { response, .. }) => {
            let Some(ran) = sim.service_runs.first() else { return false };
            let owner = all.iter().find(|attempt| attempt.tokens.contains(ran));
            let same_request = owner.is_some_and(|owner| owner.digest == result.digest);
            response.body == ran.to_string().into_bytes() && same_request
        }
        Some(OperationResult::Failed { kind: ErrorKind::KeyReused, .. }) => !ran_here,
        // `NotRun` requires no execution by this attempt and none before it started.
        Some(failed) => {
            failed.outcome() != Outcome::NotRun || (!ran_here && result.runs_before == 0)
        }
    }
}

fn count(result: &AttemptResult, sim: &Simulation) {
    let Some(operation_result) = &result.operation_result else { return };
    let executed = if sim.service_runs.is_empty() { "not executed" } else { "executed" };
    let label = match operation_result {
        OperationResult::Answered { source, .. } => format!("answered from {source:?}"),
        OperationResult::Failed { kind, .. } => {
            format!("{} {kind:?}, {executed}", operation_result.outcome())
        }
    };
    OUTCOMES.with_borrow_mut(|outcomes| *outcomes.entry(label).or_default() += 1);
}

#[test]
fn every_attempt_completes_once_faults_stop() {
    let completes = |choices: Vec<u16>| {
        let (sim, results) = run_interleaving(choices);
        let no_calls_pending = sim.borrow().calls.is_empty();
        no_calls_pending
            && results.iter().all(|result| result.crashed || result.operation_result.is_some())
    };
    support::interleavings(31).quickcheck(completes as fn(Vec<u16>) -> bool);
}
