//! Guards against a step being executed twice or out of order within an epoch,
//! against a repeated step returning a different output, and against a stage
//! exceeding its limits. Steps arrive in random order from several heads and
//! epochs, while requests fail and are closed.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use clementine_decide::ids::{Tick, WorkId};
use clementine_decide::stage::{
    HeadGeneration, StageEpoch, StageLimits, StageSequencer, StepDecision, StepId, TokenIndex,
};
use clementine_objects::Millis;
use support::Choices;

const LIMITS: StageLimits = StageLimits { requests: 3, output_size: 64 };

/// The engine's record of executed steps.
#[derive(Debug, Default)]
struct Engine {
    ran: BTreeSet<(WorkId, StageEpoch, TokenIndex)>,
    next: BTreeMap<(WorkId, StageEpoch), TokenIndex>,
    closed: BTreeMap<WorkId, HeadGeneration>,
    last_head: BTreeMap<WorkId, HeadGeneration>,
    valid: bool,
}

impl Engine {
    fn run(&mut self, step: StepId) {
        let first = self.ran.insert((step.work, step.epoch, step.token));
        let next = self.next.entry((step.work, step.epoch)).or_default();
        let in_order = *next == step.token;
        *next = step.token.next();
        let last_head = self.last_head.entry(step.work).or_default();
        self.valid &= step.head >= *last_head;
        *last_head = step.head;
        self.valid &=
            first && in_order && self.closed.get(&step.work).is_none_or(|head| step.head > *head);
    }
}

fn output(step: StepId) -> Bytes {
    format!("{}.{}.{}", step.work.0, step.epoch.0, step.token.0).into()
}

fn interleave(choices: Vec<u16>) -> bool {
    let mut choices = Choices::new(choices);
    let mut sequencer = StageSequencer::new(LIMITS);
    let mut engine = Engine { valid: true, ..Engine::default() };
    let mut running: Vec<StepId> = Vec::new();
    let mut now = Tick(0);
    while choices.any_left() {
        now = now.after(Millis(1));
        match choices.below(8) {
            0 if !running.is_empty() => {
                let step = running.remove(choices.below(running.len()));
                sequencer.fail(step);
            }
            1..=3 if !running.is_empty() => {
                let step = running.remove(choices.below(running.len()));
                sequencer.complete(step, output(step));
            }
            4 if choices.below(6) == 0 => {
                let work = WorkId(choices.below(4) as u128);
                if sequencer.output(work, TokenIndex(0)).is_some() {
                    let head = HeadGeneration(choices.below(2) as u32);
                    sequencer.close(work, head, now);
                    engine.closed.insert(work, head);
                }
            }
            _ => {
                let step = StepId {
                    work: WorkId(choices.below(4) as u128),
                    head: HeadGeneration(choices.below(2) as u32),
                    epoch: StageEpoch(choices.below(3) as u32),
                    token: TokenIndex(choices.below(6) as u32),
                };
                match sequencer.begin(step, now) {
                    StepDecision::Run => {
                        engine.run(step);
                        running.push(step);
                    }
                    StepDecision::Ran(kept) => engine.valid &= kept == output(step),
                    _ => {}
                }
            }
        }
        engine.valid &=
            sequencer.len() <= LIMITS.requests && sequencer.output_size() <= LIMITS.output_size;
    }
    engine.valid
}

#[test]
fn steps_run_once_per_epoch_and_in_order() {
    support::interleavings(77).quickcheck(interleave as fn(Vec<u16>) -> bool);
}

fn first_step() -> StepId {
    let (head, epoch) = (HeadGeneration(0), StageEpoch(0));
    StepId { work: WorkId(1), head, epoch, token: TokenIndex(0) }
}

#[test]
fn evicting_idle_requests_frees_their_outputs() {
    let mut sequencer = StageSequencer::new(LIMITS);
    let step = first_step();
    assert_eq!(sequencer.begin(step, Tick(0)), StepDecision::Run);
    assert!(sequencer.complete(step, output(step)));
    assert!(sequencer.evict_idle(Millis(10), Tick(9)).is_empty());
    assert_eq!(sequencer.evict_idle(Millis(10), Tick(10)), vec![WorkId(1)]);
    assert!(sequencer.is_empty());
    assert_eq!(sequencer.output_size(), 0);
}

#[test]
fn output_over_the_size_limit_fails_the_request() {
    let mut sequencer = StageSequencer::new(StageLimits { requests: 1, output_size: 4 });
    let step = first_step();
    assert_eq!(sequencer.begin(step, Tick(0)), StepDecision::Run);
    assert!(!sequencer.complete(step, Bytes::from_static(b"12345")));
    assert_eq!(sequencer.begin(step, Tick(1)), StepDecision::Lost);
    let other = StepId { work: WorkId(2), ..step };
    assert_eq!(sequencer.begin(other, Tick(1)), StepDecision::Full);
}
