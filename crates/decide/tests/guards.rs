//! Circuit breaker, rate limit, retry budget, suspects that run apart, and the responses
//! for error kinds.

use std::collections::BTreeSet;

use clementine_decide::circuit::{CircuitBreaker, CircuitLimits, TokenBucket};
use clementine_decide::ids::Tick;
use clementine_decide::outcome::{ErrorKind, Outcome};
use clementine_decide::quarantine::SuspectGate;
use clementine_decide::retry::{
    AttemptCounts, AttemptEnd, AttemptLimits, RetryBudget, RetryBudgetLimits,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

#[test]
fn an_open_circuit_allows_one_probe() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut circuit = CircuitBreaker::new(CircuitLimits::default());
    for _ in 0..3 {
        assert!(circuit.try_call(Tick(0)));
        circuit.record_failure(Tick(0), &mut rng);
    }
    assert!(!circuit.try_call(Tick(100)));
    assert!(circuit.try_call(Tick(250)), "probe after the backoff");
    assert!(!circuit.try_call(Tick(250)), "second call while the probe is in flight");
    circuit.record_failure(Tick(250), &mut rng);
    assert!(!circuit.try_call(Tick(450)), "the backoff is doubled");
    assert!(circuit.try_call(Tick(750)));
    circuit.record_success();
    assert!(circuit.is_closed() && circuit.try_call(Tick(750)));
}

#[test]
fn token_buckets_refill_with_time_and_retry_budgets_with_requests() {
    let mut calls = TokenBucket::new(10.0, 2.0);
    let taken = |calls: &mut TokenBucket, now| (0..5).filter(|_| calls.try_take(Tick(now))).count();
    assert_eq!(taken(&mut calls, 0), 2);
    assert_eq!(taken(&mut calls, 100), 1);
    assert_eq!(taken(&mut calls, 10_000), 2);

    let mut retries = RetryBudget::new(RetryBudgetLimits { ratio: 0.25, capacity: 1.0 });
    assert!(retries.try_retry() && !retries.try_retry());
    for _ in 0..4 {
        retries.record_request();
    }
    assert!(retries.try_retry() && !retries.try_retry());
}

/// A request crashes an engine, and a bystander of an earlier crash arrives
/// before the agent has noticed that the engine is gone.
#[test]
fn suspect_is_not_admitted_between_a_loss_and_the_proof_of_liveness() {
    let mut gate = SuspectGate::default();
    assert!(gate.try_admit(), "the request that crashes the engine");
    assert!(!gate.try_admit(), "suspects run apart");
    assert!(gate.record_loss());
    gate.record_end();
    assert!(!gate.try_admit(), "the bystander must not share the crash");
    assert!(!gate.record_loss(), "one check is enough for all runs lost in the crash");
    gate.record_alive();
    assert!(gate.try_admit(), "the engine is back");
}

#[test]
fn each_error_kind_has_a_unique_code_and_a_consistent_response() {
    let codes: BTreeSet<_> = ErrorKind::ALL.iter().map(|kind| kind.code()).collect();
    assert_eq!(codes.len(), ErrorKind::ALL.len());
    for kind in ErrorKind::ALL {
        let response = kind.response();
        assert!((400..600).contains(&response.status), "{kind:?}");
        // 429 and 503 responses carry a retry delay.
        let unavailable = [429, 503].contains(&response.status);
        assert!(!unavailable || response.retry_after.is_some(), "{kind:?}");
        // A client error is never reported for a request that has run.
        let client_error = response.status < 500;
        assert!(!client_error || response.outcome != Outcome::Ran, "{kind:?}");
    }
}

/// Limits of a stream, with at most two attempts of the route rule.
fn stream_limits(is_repeatable: bool, max_unexecuted: u32) -> AttemptLimits {
    AttemptLimits { max_executed: 2, max_extra: 2, max_unexecuted, is_repeatable }
}

/// A stream whose recovery began while the caller was receiving it had the limit of
/// one that had not begun.
#[test]
fn stream_that_the_caller_receives_may_be_refused_more_often() {
    let refused = |not_executed| AttemptCounts { executed: 1, not_executed, ..Default::default() };
    let limits = stream_limits(true, 4);
    assert!(refused(4).allow_another(&limits) && !refused(5).allow_another(&limits));
    let limits = stream_limits(true, 12);
    assert!(refused(12).allow_another(&limits) && !refused(13).allow_another(&limits));
    let limits = stream_limits(false, 12);
    assert!(!refused(0).allow_another(&limits), "it may have been executed");
}

#[test]
fn loss_of_backend_servers_grants_at_most_two_attempts() {
    let lost =
        |n| AttemptCounts { executed: n, lost_to_down_backend: n, ..AttemptCounts::default() };
    let limits = stream_limits(true, 12);
    assert!(lost(2).allow_another(&limits) && lost(3).allow_another(&limits));
    assert!(!lost(4).allow_another(&limits));
}

/// An attempt in progress was not counted when another one was to replace it.
#[test]
fn attempt_in_progress_counts_like_one_that_has_ended() {
    let ends = [
        AttemptEnd::NotSent,
        AttemptEnd::NotExecuted,
        AttemptEnd::Executed,
        AttemptEnd::LostToDownBackend,
    ];
    let none = AttemptCounts::default();
    for is_repeatable in [false, true] {
        let limits = stream_limits(is_repeatable, 4);
        for (first, second) in ends.iter().flat_map(|a| ends.iter().map(move |b| (*a, *b))) {
            let mut ended = none;
            ended.record(first);
            let replaced = ended.allow_replacement(second, &limits);
            ended.record(second);
            assert_eq!(replaced, ended.allow_another(&limits), "{first:?}, {second:?}");
        }
        assert!(none.allow_replacement(AttemptEnd::NotExecuted, &limits));
        assert_eq!(none.allow_replacement(AttemptEnd::Executed, &limits), is_repeatable);
        let one = AttemptLimits { max_executed: 1, ..limits };
        assert!(!none.allow_replacement(AttemptEnd::Executed, &one), "it runs already");
    }
}

/// A connection that was refused counted as the arrival of a request.
#[test]
fn request_that_was_never_sent_has_arrived_nowhere() {
    let unsent = AttemptCounts::default().with(AttemptEnd::NotSent).with(AttemptEnd::NotSent);
    assert!(!unsent.may_have_arrived());
    for end in [AttemptEnd::NotExecuted, AttemptEnd::Executed, AttemptEnd::LostToDownBackend] {
        assert!(unsent.with(end).may_have_arrived(), "{end:?}");
        assert!(unsent.with(end).with(AttemptEnd::NotSent).may_have_arrived(), "{end:?}");
    }
}
