//! Ordering and deduplication of the steps at one pipeline stage.

use std::collections::HashMap;

use clementine_objects::Millis;
use serde::{Deserialize, Serialize};

use crate::ids::{Tick, WorkId};

/// Number of an attempt to process a request at a stage. A higher epoch
/// supersedes lower ones.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StageEpoch(pub u32);

/// Generation of a request's head, the first stage, which drives the other
/// stages. A later head supersedes an earlier one, which may still be running.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct HeadGeneration(pub u32);

/// Index of a step of a request: 0 processes the prompt, `n` the `n`-th
/// generated token.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct TokenIndex(pub u32);

impl TokenIndex {
    /// The next index.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Identifies one step of a request at a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StepId {
    /// The work id, which is the same at all stages.
    pub work: WorkId,
    /// Generation of the head that sent the step.
    pub head: HeadGeneration,
    /// Epoch of the request at this stage.
    pub epoch: StageEpoch,
    /// Index of the step.
    pub token: TokenIndex,
}

/// Decision on a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepDecision<O> {
    /// Execute the step, then call [`StageSequencer::complete`] or
    /// [`StageSequencer::fail`].
    Run,
    /// The step was executed before, with this output.
    Ran(O),
    /// The step is being executed on behalf of another call.
    Running,
    /// An earlier step has not been executed at this stage.
    Gap {
        /// The next step that this stage expects.
        expected: TokenIndex,
    },
    /// A higher epoch has superseded this one.
    Replaced {
        /// The current epoch.
        current: StageEpoch,
    },
    /// The engine's state of the request is lost; only a higher epoch can
    /// restart the request.
    Lost,
    /// The request was closed, or a later head drives it.
    Ended,
    /// The stage already holds the maximum number of requests.
    Full,
}

/// Limits of a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageLimits {
    /// Maximum number of requests held.
    pub requests: usize,
    /// Maximum total size of the outputs held, as reported by
    /// [`StageOutput::size`].
    pub output_size: usize,
}

/// An output kept by a stage.
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

/// State of one request.
///
/// Invariant: `outputs[n]` is the output of step `n` in the current epoch.
#[derive(Debug)]
struct Progress<O> {
    head: HeadGeneration,
    epoch: StageEpoch,
    phase: Phase,
    outputs: Vec<O>,
    last_used: Tick,
}

/// Sequences the steps at one stage: within an epoch, each step of a request is
/// executed once and in order.
///
/// Outputs are kept until the request is closed, so that a repeated step returns
/// the kept output instead of being executed again.
///
/// Invariants: at most `limits.requests` requests are held; `output_size` is
/// the total size of the outputs held.
#[derive(Debug)]
pub struct StageSequencer<O> {
    limits: StageLimits,
    output_size: usize,
    requests: HashMap<WorkId, Progress<O>>,
}

impl<O: StageOutput> StageSequencer<O> {
    /// Creates a sequencer that holds no requests.
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

    /// Total size of the outputs held.
    pub const fn output_size(&self) -> usize {
        self.output_size
    }

    /// Decides whether to execute a step.
    pub fn begin(&mut self, step: StepId, now: Tick) -> StepDecision<O> {
        let Some(progress) = self.requests.get_mut(&step.work) else {
            return self.open(step, now);
        };
        progress.last_used = now;
        let closed = progress.phase == Phase::Closed;
        if step.head < progress.head || (closed && step.head == progress.head) {
            return StepDecision::Ended;
        }
        progress.head = step.head;
        if closed {
            // An earlier head closed the request: restart it in a new epoch.
            progress.phase = Phase::Idle;
            progress.epoch = StageEpoch(progress.epoch.0 + 1);
        }
        if step.epoch < progress.epoch {
            return StepDecision::Replaced { current: progress.epoch };
        }
        if step.epoch > progress.epoch {
            return self.open(step, now);
        }
        progress.begin(step.token)
    }

    /// Stores the output of a step for which [`StageSequencer::begin`] returned
    /// [`StepDecision::Run`]. Returns false if a higher epoch has superseded the
    /// step, the request was closed, or the output would exceed the size limit.
    pub fn complete(&mut self, step: StepId, output: O) -> bool {
        let size = output.size();
        let fits = self.output_size + size <= self.limits.output_size;
        let Some(progress) = self.running(step) else { return false };
        if !fits {
            progress.phase = Phase::Lost;
            return false;
        }
        progress.phase = Phase::Idle;
        progress.outputs.push(output);
        self.output_size += size;
        true
    }

    /// Records that a step failed. The engine's state of the request is lost, and
    /// only a higher epoch can restart it.
    pub fn fail(&mut self, step: StepId) {
        if let Some(progress) = self.running(step) {
            progress.phase = Phase::Lost;
        }
    }

    /// The kept output of a step in the current epoch.
    pub fn output(&self, work: WorkId, token: TokenIndex) -> Option<O> {
        self.requests.get(&work)?.outputs.get(token.0 as usize).cloned()
    }

    /// Closes a request on behalf of a head and drops its outputs. Its steps are
    /// rejected until it is evicted or a later head drives it.
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

    /// Removes requests that have been idle for at least `unused_for` and returns
    /// their work ids. Requests with a running step are kept.
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

    fn running(&mut self, step: StepId) -> Option<&mut Progress<O>> {
        let progress = self.requests.get_mut(&step.work)?;
        let expected = progress.epoch == step.epoch
            && progress.phase == Phase::Running
            && progress.next() == step.token;
        expected.then_some(progress)
    }

    fn open(&mut self, step: StepId, now: Tick) -> StepDecision<O> {
        if step.token != TokenIndex::default() {
            return StepDecision::Gap { expected: TokenIndex::default() };
        }
        let known = self.requests.contains_key(&step.work);
        if !known && self.requests.len() >= self.limits.requests {
            return StepDecision::Full;
        }
        let progress = Progress {
            head: step.head,
            epoch: step.epoch,
            phase: Phase::Running,
            outputs: Vec::new(),
            last_used: now,
        };
        if let Some(replaced) = self.requests.insert(step.work, progress) {
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
