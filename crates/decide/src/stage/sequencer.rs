//! Order and uniqueness of steps at one stage.

use std::collections::HashMap;

use clementine_objects::Millis;
use serde::{Deserialize, Serialize};

use crate::ids::{Tick, WorkId};

/// Number of an attempt to run a request through a stage; a higher one
/// replaces the lower ones.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StageEpoch(pub u32);

/// Number of a head of a request's chain; a later head replaces an earlier
/// one, which may still run somewhere.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct HeadGeneration(pub u32);

/// Index of a step of a request: 0 is the prompt, `n` the `n`-th token.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct TokenIndex(pub u32);

impl TokenIndex {
    /// The index that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// What names one step of a request to a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StepId {
    /// The request at all stages.
    pub work: WorkId,
    /// The head that drives the request.
    pub head: HeadGeneration,
    /// The attempt at this stage.
    pub epoch: StageEpoch,
    /// The step.
    pub token: TokenIndex,
}

/// Decision on a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepDecision<O> {
    /// Run the step, then call [`StageSequencer::complete`] or
    /// [`StageSequencer::fail`].
    Run,
    /// The step has run: this was its output.
    Ran(O),
    /// The step runs now under another call.
    Running,
    /// A step before this one has not run here.
    Gap {
        /// The step that this stage expects.
        expected: TokenIndex,
    },
    /// A higher epoch has replaced this one.
    Replaced {
        /// The epoch that is open now.
        open: StageEpoch,
    },
    /// The engine has lost the request's state; a higher epoch may open it.
    Lost,
    /// The request has ended, or a later head drives it.
    Ended,
    /// The stage holds as many requests or outputs as it may.
    Full,
}

/// Bounds of a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageLimits {
    /// Requests held at a time.
    pub requests: usize,
    /// Size of all outputs held, as [`StageOutput::size`] counts it.
    pub output_size: usize,
}

/// An output that a stage keeps.
pub trait StageOutput: Clone {
    /// Size of the output, in bytes.
    fn size(&self) -> usize;
}

impl StageOutput for bytes::Bytes {
    fn size(&self) -> usize {
        self.len()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Idle,
    Running,
    /// The engine has lost the request's state.
    Lost,
    Closed,
}

/// The progress of one request.
///
/// Invariant: `outputs[n]` is the output of step `n` in the open epoch.
#[derive(Debug)]
struct Progress<O> {
    head: HeadGeneration,
    epoch: StageEpoch,
    phase: Phase,
    outputs: Vec<O>,
    last_used: Tick,
}

/// The gate of one stage: each step of a request runs once in each epoch, in
/// order.
///
/// Outputs are kept until the request is closed, so that a step that is asked
/// for again is answered without running it.
///
/// Invariants: at most `limits.requests` requests are held; `output_size` is
/// the size of all outputs held.
#[derive(Debug)]
pub struct StageSequencer<O> {
    limits: StageLimits,
    output_size: usize,
    requests: HashMap<WorkId, Progress<O>>,
}

impl<O: StageOutput> StageSequencer<O> {
    /// A gate without requests.
    pub fn new(limits: StageLimits) -> Self {
        Self { limits, output_size: 0, requests: HashMap::new() }
    }

    /// Number of requests held.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Size of all outputs held.
    pub const fn output_size(&self) -> usize {
        self.output_size
    }

    /// Decides on a step.
    pub fn begin(&mut self, input: StepId, now: Tick) -> StepDecision<O> {
        let Some(progress) = self.requests.get_mut(&input.work) else {
            return self.open(input, now);
        };
        progress.last_used = now;
        let closed = progress.phase == Phase::Closed;
        if input.head < progress.head || (closed && input.head == progress.head) {
            return StepDecision::Ended;
        }
        progress.head = input.head;
        if closed {
            // Closed by a head that was given up on: start over.
            progress.phase = Phase::Idle;
            progress.epoch = StageEpoch(progress.epoch.0 + 1);
        }
        if input.epoch < progress.epoch {
            return StepDecision::Replaced { open: progress.epoch };
        }
        if input.epoch > progress.epoch {
            return self.open(input, now);
        }
        progress.begin(input.token)
    }

    /// Notes the output of a step that [`StageSequencer::begin`] let run. Returns
    /// false when a higher epoch has replaced it meanwhile, when the request
    /// was closed, or when there is no room for the output.
    pub fn complete(&mut self, input: StepId, output: O) -> bool {
        let size = output.size();
        let room = self.output_size + size <= self.limits.output_size;
        let Some(progress) = self.running(input) else { return false };
        if !room {
            progress.phase = Phase::Lost;
            return false;
        }
        progress.phase = Phase::Idle;
        progress.outputs.push(output);
        self.output_size += size;
        true
    }

    /// Notes that a step failed: the engine's state of the request is lost,
    /// and only a higher epoch may open it again.
    pub fn fail(&mut self, input: StepId) {
        if let Some(progress) = self.running(input) {
            progress.phase = Phase::Lost;
        }
    }

    /// The output of a step in the open epoch.
    pub fn output(&self, work: WorkId, token: TokenIndex) -> Option<O> {
        self.requests.get(&work)?.outputs.get(token.0 as usize).cloned()
    }

    /// Ends a request on behalf of a head. Its steps are refused until it is
    /// evicted or a later head drives it.
    pub fn close(&mut self, work: WorkId, head: HeadGeneration, now: Tick) {
        let Some(progress) = self.requests.get_mut(&work) else { return };
        if head < progress.head {
            return;
        }
        progress.head = head;
        progress.phase = Phase::Closed;
        progress.last_used = now;
        self.output_size -= total_size(&progress.outputs);
        progress.outputs.clear();
    }

    /// Forgets requests that were not used for a time and returns them.
    pub fn evict_idle(&mut self, unused_for: Millis, now: Tick) -> Vec<WorkId> {
        let unused = |progress: &Progress<O>| {
            progress.phase != Phase::Running && now.since(progress.last_used) >= unused_for
        };
        let evicted = self.requests.iter().filter(|(_, progress)| unused(progress));
        let evicted: Vec<_> = evicted.map(|(work, _)| *work).collect();
        for work in &evicted {
            if let Some(progress) = self.requests.remove(work) {
                self.output_size -= total_size(&progress.outputs);
            }
        }
        evicted
    }

    fn running(&mut self, input: StepId) -> Option<&mut Progress<O>> {
        let progress = self.requests.get_mut(&input.work)?;
        let expected = progress.epoch == input.epoch
            && progress.phase == Phase::Running
            && progress.next() == input.token;
        expected.then_some(progress)
    }

    fn open(&mut self, input: StepId, now: Tick) -> StepDecision<O> {
        if input.token != TokenIndex::default() {
            return StepDecision::Gap { expected: TokenIndex::default() };
        }
        let known = self.requests.contains_key(&input.work);
        if !known && self.requests.len() >= self.limits.requests {
            return StepDecision::Full;
        }
        let progress = Progress {
            head: input.head,
            epoch: input.epoch,
            phase: Phase::Running,
            outputs: Vec::new(),
            last_used: now,
        };
        if let Some(replaced) = self.requests.insert(input.work, progress) {
            self.output_size -= total_size(&replaced.outputs);
        }
        StepDecision::Run
    }
}

impl<O: StageOutput> Progress<O> {
    fn next(&self) -> TokenIndex {
        TokenIndex(u32::try_from(self.outputs.len()).unwrap_or(u32::MAX))
    }

    fn begin(&mut self, token: TokenIndex) -> StepDecision<O> {
        if let Some(output) = self.outputs.get(token.0 as usize) {
            return StepDecision::Ran(output.clone());
        }
        if self.phase == Phase::Lost {
            return StepDecision::Lost;
        }
        if token > self.next() {
            return StepDecision::Gap { expected: self.next() };
        }
        if self.phase == Phase::Running {
            return StepDecision::Running;
        }
        self.phase = Phase::Running;
        StepDecision::Run
    }
}

fn total_size<O: StageOutput>(outputs: &[O]) -> usize {
    outputs.iter().map(StageOutput::size).sum()
}
