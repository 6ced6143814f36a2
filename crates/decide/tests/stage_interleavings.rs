//! Random steps at one stage: each step runs once in each epoch, in order,
//! and an answered step always has the same output.

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

/// The engine's own record of what ran.
#[derive(Debug, Default)]
struct Engine {
    ran: BTreeSet<(WorkId, StageEpoch, TokenIndex)>,
    next: BTreeMap<(WorkId, StageEpoch), TokenIndex>,
    closed: BTreeMap<WorkId, HeadGeneration>,
    last_head: BTreeMap<WorkId, HeadGeneration>,
    sound: bool,
}

impl Engine {
    fn run(&mut self, input: StepId) {
        let first = self.ran.insert((input.work, input.epoch, input.token));
        let next = self.next.entry((input.work, input.epoch)).or_default();
        let in_order = *next == input.token;
        *next = input.token.next();
        let last_head = self.last_head.entry(input.work).or_default();
        self.sound &= input.head >= *last_head;
        *last_head = input.head;
        self.sound &=
            first && in_order && self.closed.get(&input.work).is_none_or(|head| input.head > *head);
    }
}

fn output(input: StepId) -> Bytes {
    format!("{}.{}.{}", input.work.0, input.epoch.0, input.token.0).into()
}

fn interleave(choices: Vec<u16>) -> bool {
    let mut choices = Choices::new(choices);
    let mut sequencer = StageSequencer::new(LIMITS);
    let mut engine = Engine { sound: true, ..Engine::default() };
    let mut running: Vec<StepId> = Vec::new();
    let mut now = Tick(0);
    while choices.any_left() {
        now = now.after(Millis(1));
        match choices.below(8) {
            0 if !running.is_empty() => {
                let input = running.remove(choices.below(running.len()));
                sequencer.fail(input);
            }
            1..=3 if !running.is_empty() => {
                let input = running.remove(choices.below(running.len()));
                sequencer.complete(input, output(input));
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
                let input = StepId {
                    work: WorkId(choices.below(4) as u128),
                    head: HeadGeneration(choices.below(2) as u32),
                    epoch: StageEpoch(choices.below(3) as u32),
                    token: TokenIndex(choices.below(6) as u32),
                };
                match sequencer.begin(input, now) {
                    StepDecision::Run => {
                        engine.run(input);
                        running.push(input);
                    }
                    StepDecision::Ran(kept) => engine.sound &= kept == output(input),
                    _ => {}
                }
            }
        }
        engine.sound &=
            sequencer.len() <= LIMITS.requests && sequencer.output_size() <= LIMITS.output_size;
    }
    engine.sound
}

#[test]
fn each_step_runs_once_in_each_epoch_and_in_order() {
    support::interleavings(77).quickcheck(interleave as fn(Vec<u16>) -> bool);
}

fn first_step() -> StepId {
    let (head, epoch) = (HeadGeneration(0), StageEpoch(0));
    StepId { work: WorkId(1), head, epoch, token: TokenIndex(0) }
}

#[test]
fn a_swept_stage_holds_nothing() {
    let mut sequencer = StageSequencer::new(LIMITS);
    let input = first_step();
    assert_eq!(sequencer.begin(input, Tick(0)), StepDecision::Run);
    assert!(sequencer.complete(input, output(input)));
    assert!(sequencer.evict_idle(Millis(10), Tick(9)).is_empty());
    assert_eq!(sequencer.evict_idle(Millis(10), Tick(10)), vec![WorkId(1)]);
    assert!(sequencer.is_empty());
    assert_eq!(sequencer.output_size(), 0);
}

#[test]
fn outputs_over_the_bound_end_the_request() {
    let mut sequencer = StageSequencer::new(StageLimits { requests: 1, output_size: 4 });
    let input = first_step();
    assert_eq!(sequencer.begin(input, Tick(0)), StepDecision::Run);
    assert!(!sequencer.complete(input, Bytes::from_static(b"12345")));
    assert_eq!(sequencer.begin(input, Tick(1)), StepDecision::Lost);
    let other = StepId { work: WorkId(2), ..input };
    assert_eq!(sequencer.begin(other, Tick(1)), StepDecision::Full);
}
