//! Execution of steps at this agent's stage.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use clementine_decide::ids::WorkId;
use clementine_decide::stage::{
    HeadGeneration, StageEpoch, StageLimits, StageSequencer, StepDecision, StepId,
};
use clementine_net::Dialer;
use clementine_objects::Millis;
use clementine_process::clock::Clock;
use clementine_wire::{AgentLink, LinkTimeouts, StageRequest, StageResponse};
use tokio::sync::Notify;
use tokio::task::spawn_local;

use super::engine::StageEngine;
use crate::backend::BackendAddress;

/// Time after which the state of an idle request is evicted.
const IDLE_TIMEOUT: Millis = Millis(60_000);

/// The agent of the next stage that a request uses.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct NextStage {
    /// Index into the agents of the next stage.
    pub(super) target: usize,
    /// Epoch of the request at that agent.
    pub(super) epoch: StageEpoch,
}

/// Runs steps at this agent's stage and forwards their outputs.
#[derive(Debug)]
pub(crate) struct StageRunner {
    engine: StageEngine,
    dialer: Rc<Dialer>,
    clock: Clock,
    sequencer: RefCell<StageSequencer<Bytes>>,
    next_stages: RefCell<HashMap<WorkId, NextStage>>,
    links: RefCell<HashMap<SocketAddr, Rc<AgentLink>>>,
    /// Notified when a step has completed or failed.
    completed: Notify,
}

impl StageRunner {
    /// Creates a runner for the engine at `backend`.
    pub(crate) fn new(
        backend: BackendAddress,
        dialer: Rc<Dialer>,
        clock: Clock,
        limits: StageLimits,
    ) -> Rc<Self> {
        Rc::new(Self {
            engine: StageEngine::new(backend),
            dialer,
            clock,
            sequencer: RefCell::new(StageSequencer::new(limits)),
            next_stages: RefCell::default(),
            links: RefCell::default(),
            completed: Notify::new(),
        })
    }

    /// Returns the number of requests that the stage holds.
    pub(crate) fn len(&self) -> usize {
        self.sequencer.borrow().len()
    }

    /// Returns the total size of the retained outputs, in bytes.
    pub(crate) fn output_bytes(&self) -> usize {
        self.sequencer.borrow().output_size()
    }

    /// Runs one step at this stage, unless it was already executed, and then at
    /// the later stages.
    pub(crate) async fn step(self: &Rc<Self>, request: StageRequest) -> StageResponse {
        let output = match self.run_or_reuse(request.step, &request.activation).await {
            Ok(output) => output,
            Err(response) => return response,
        };
        if request.rebuild {
            return StageResponse::Rebuilt;
        }
        self.forward_output(request.step, output, &request.stages).await
    }

    /// Releases the state of a request on behalf of a head.
    pub(crate) fn close(&self, work: WorkId, head: HeadGeneration) {
        self.sequencer.borrow_mut().close(work, head, self.clock.now());
        self.next_stages.borrow_mut().remove(&work);
    }

    /// Evicts the state of idle requests.
    pub(crate) fn evict_idle(&self) {
        let evicted = self.sequencer.borrow_mut().evict_idle(IDLE_TIMEOUT, self.clock.now());
        let mut next_stages = self.next_stages.borrow_mut();
        for work in evicted {
            next_stages.remove(&work);
        }
    }

    /// Returns the connection to another agent.
    pub(super) fn link(&self, address: SocketAddr) -> Rc<AgentLink> {
        let mut links = self.links.borrow_mut();
        let new =
            || Rc::new(AgentLink::new(address, Rc::clone(&self.dialer), LinkTimeouts::default()));
        Rc::clone(links.entry(address).or_insert_with(new))
    }

    /// Returns the agent of the next stage that a request uses.
    pub(super) fn next_stage(&self, work: WorkId) -> NextStage {
        self.next_stages.borrow().get(&work).copied().unwrap_or_default()
    }

    /// Sets the agent of the next stage that a request uses.
    pub(super) fn set_next_stage(&self, work: WorkId, next_stage: NextStage) {
        self.next_stages.borrow_mut().insert(work, next_stage);
    }

    /// Returns the retained output of a step.
    pub(super) fn retained_output(&self, step: StepId) -> Option<Bytes> {
        self.sequencer.borrow().output(step.work, step.token)
    }

    /// Returns the output of a step. Executes the step unless it was executed
    /// before or is running.
    async fn run_or_reuse(
        self: &Rc<Self>,
        step: StepId,
        activation: &Bytes,
    ) -> Result<Bytes, StageResponse> {
        loop {
            let decision = self.sequencer.borrow_mut().begin(step, self.clock.now());
            match decision {
                StepDecision::Run => self.spawn_step(step, activation.clone()),
                StepDecision::Running => {}
                StepDecision::Ran(output) => return Ok(output),
                StepDecision::Gap { expected } => return Err(StageResponse::Gap { expected }),
                StepDecision::Replaced { current } => {
                    return Err(StageResponse::Replaced { current });
                }
                StepDecision::Lost | StepDecision::Ended | StepDecision::Full => {
                    return Err(StageResponse::Failed);
                }
            }
            self.completed.notified().await;
        }
    }

    /// Executes a step at the engine in a separate task, so that it completes even
    /// if the calling agent disconnects.
    fn spawn_step(self: &Rc<Self>, step: StepId, activation: Bytes) {
        let runner = Rc::clone(self);
        spawn_local(async move {
            match runner.engine.forward(step, &activation).await {
                Some(output) => drop(runner.sequencer.borrow_mut().complete(step, output)),
                None => runner.sequencer.borrow_mut().fail(step),
            }
            runner.completed.notify_waiters();
        });
    }
}
