//! Random interleavings of attempts at one operation, with lost and late
//! answers of the table service, crashed entries, and replaced agents that
//! wake up. The service's own record is the oracle.

mod operation_world;
mod support;

use std::cell::RefCell;
use std::collections::BTreeMap;

use clementine_decide::operation::Settled;
use clementine_decide::outcome::{ErrorKind, Outcome};
use operation_world::{AttemptResult, World, run_interleaving};

thread_local! {
    static OUTCOMES: RefCell<BTreeMap<String, u64>> = RefCell::default();
}

#[test]
fn runs_at_most_once_and_tells_the_truth() {
    support::interleavings(4_711).quickcheck(check as fn(Vec<u16>) -> bool);
    OUTCOMES.with_borrow(|outcomes| println!("outcomes: {outcomes:?}"));
}

fn check(choices: Vec<u16>) -> bool {
    let (world, results) = run_interleaving(choices);
    let world = world.borrow();
    for result in &results {
        count(result, &world);
    }
    let once = world.service_runs.len() <= 1;
    once && results.iter().all(|result| is_truthful(result, &results, &world))
}

/// Compares what an attempt was told with the service's record.
fn is_truthful(result: &AttemptResult, all: &[AttemptResult], world: &World) -> bool {
    let ran_here = result.tokens.iter().any(|token| world.service_runs.contains(token));
    match &result.settled {
        None => true,
        Some(Settled::Answered { answer, .. }) => {
            let Some(ran) = world.service_runs.first() else { return false };
            let owner = all.iter().find(|attempt| attempt.tokens.contains(ran));
            let same_request = owner.is_some_and(|owner| owner.digest == result.digest);
            answer.body == ran.to_string().into_bytes() && same_request
        }
        Some(Settled::Failed { kind: ErrorKind::KeyReused, .. }) => !ran_here,
        // Neither this attempt nor one that was over before may have run.
        Some(settled) => {
            settled.outcome() != Outcome::NotRun || (!ran_here && result.runs_before == 0)
        }
    }
}

fn count(result: &AttemptResult, world: &World) {
    let Some(settled) = &result.settled else { return };
    let ran = if world.service_runs.is_empty() { "nothing ran" } else { "it ran" };
    let label = match settled {
        Settled::Answered { by, .. } => format!("ran by {by:?}"),
        Settled::Failed { kind, .. } => format!("{} {kind:?}, {ran}", settled.outcome()),
    };
    OUTCOMES.with_borrow_mut(|outcomes| *outcomes.entry(label).or_default() += 1);
}

#[test]
fn every_attempt_is_settled_when_faults_end() {
    let settles = |choices: Vec<u16>| {
        let (world, results) = run_interleaving(choices);
        let none_pending = world.borrow().calls.is_empty();
        none_pending && results.iter().all(|result| result.crashed || result.settled.is_some())
    };
    support::interleavings(31).quickcheck(settles as fn(Vec<u16>) -> bool);
}
