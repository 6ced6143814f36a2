//! Order and uniqueness of tokens at one stage.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::ids::WorkId;

/// Number of an attempt to run a request through a stage; a higher one
/// replaces the lower ones.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StageEpoch(pub u32);

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
pub struct StageInput {
    /// The request's work.
    pub work: WorkId,
    /// The attempt.
    pub epoch: StageEpoch,
    /// The step.
    pub token: TokenIndex,
}

/// Decision on a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StageVerdict<O> {
    /// Run the step, then call [`StageGate::complete`].
    Run,
    /// The step has run: this was its output.
    Ran(O),
    /// The step runs now under another call.
    Running,
    /// The step's output is no longer kept.
    OutputDropped,
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
    /// The stage holds as many requests as it may.
    Full,
}

/// The progress of one request.
///
/// Invariant: `last_output` belongs to the step before `next`.
#[derive(Debug)]
struct Progress<O> {
    epoch: StageEpoch,
    next: TokenIndex,
    running: bool,
    last_output: Option<O>,
}

/// The gate of one stage: each step of a request runs once in each epoch, in
/// order.
///
/// Invariant: at most `capacity` requests are held.
#[derive(Debug)]
pub struct StageGate<O> {
    capacity: usize,
    requests: HashMap<WorkId, Progress<O>>,
}

impl<O: Clone> StageGate<O> {
    /// A gate that holds at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, requests: HashMap::new() }
    }

    /// Number of requests held.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Decides on a step.
    pub fn offer(&mut self, input: StageInput) -> StageVerdict<O> {
        let open = self.requests.get(&input.work).map(|progress| progress.epoch);
        if let Some(open) = open.filter(|open| input.epoch < *open) {
            return StageVerdict::Replaced { open };
        }
        if open != Some(input.epoch) {
            return self.open(input, open.is_some());
        }
        match self.requests.get_mut(&input.work) {
            Some(progress) => progress.offer(input.token),
            None => StageVerdict::Gap { expected: TokenIndex::default() },
        }
    }

    /// Notes the output of a step that [`StageGate::offer`] let run. Returns
    /// false when a higher epoch has replaced it meanwhile.
    pub fn complete(&mut self, input: StageInput, output: O) -> bool {
        let Some(progress) = self.requests.get_mut(&input.work) else { return false };
        let expected = progress.epoch == input.epoch && progress.next == input.token;
        if !expected || !progress.running {
            return false;
        }
        progress.running = false;
        progress.next = input.token.next();
        progress.last_output = Some(output);
        true
    }

    /// Forgets a request that has ended.
    pub fn close(&mut self, work: WorkId) {
        self.requests.remove(&work);
    }

    fn open(&mut self, input: StageInput, replaces: bool) -> StageVerdict<O> {
        if input.token != TokenIndex::default() {
            return StageVerdict::Gap { expected: TokenIndex::default() };
        }
        if !replaces && self.requests.len() >= self.capacity {
            return StageVerdict::Full;
        }
        let progress =
            Progress { epoch: input.epoch, next: input.token, running: true, last_output: None };
        self.requests.insert(input.work, progress);
        StageVerdict::Run
    }
}

impl<O: Clone> Progress<O> {
    fn offer(&mut self, token: TokenIndex) -> StageVerdict<O> {
        if token > self.next {
            return StageVerdict::Gap { expected: self.next };
        }
        if token == self.next {
            let verdict = if self.running { StageVerdict::Running } else { StageVerdict::Run };
            self.running = true;
            return verdict;
        }
        match &self.last_output {
            Some(output) if token.next() == self.next => StageVerdict::Ran(output.clone()),
            _ => StageVerdict::OutputDropped,
        }
    }
}
