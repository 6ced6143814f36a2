//! Runs the steps of this agent's stage.

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

/// Time after which an unused request is forgotten.
const UNUSED_LIMIT: Millis = Millis(60_000);

/// The next stage's agent in use for a request.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct HopChoice {
    /// Index among the agents of the next stage.
    pub(super) target: usize,
    /// Epoch of the request there.
    pub(super) epoch: StageEpoch,
}

/// Runs the steps of this agent's stage.
#[derive(Debug)]
pub(crate) struct StageRunner {
    engine: StageEngine,
    dialer: Rc<Dialer>,
    clock: Clock,
    sequencer: RefCell<StageSequencer<Bytes>>,
    hops: RefCell<HashMap<WorkId, HopChoice>>,
    links: RefCell<HashMap<SocketAddr, Rc<AgentLink>>>,
    completed: Notify,
}

impl StageRunner {
    /// A stage at an engine.
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
            hops: RefCell::default(),
            links: RefCell::default(),
            completed: Notify::new(),
        })
    }

    /// Requests that the stage holds.
    pub(crate) fn len(&self) -> usize {
        self.sequencer.borrow().len()
    }

    /// Bytes of the outputs that the stage holds.
    pub(crate) fn output_bytes(&self) -> usize {
        self.sequencer.borrow().output_size()
    }

    /// Runs one step here, unless it has run, and at the stages after this
    /// one.
    pub(crate) async fn step(self: &Rc<Self>, order: StageRequest) -> StageResponse {
        let output = match self.output(order.input, &order.activation).await {
            Ok(output) => output,
            Err(reply) => return reply,
        };
        if order.rebuild {
            return StageResponse::Rebuilt;
        }
        self.pass_on(order.input, output, &order.stages).await
    }

    /// Ends a request on behalf of a head.
    pub(crate) fn close(&self, work: WorkId, head: HeadGeneration) {
        self.sequencer.borrow_mut().close(work, head, self.clock.now());
        self.hops.borrow_mut().remove(&work);
    }

    /// Forgets requests that are not used any more.
    pub(crate) fn sweep(&self) {
        let swept = self.sequencer.borrow_mut().evict_idle(UNUSED_LIMIT, self.clock.now());
        let mut hops = self.hops.borrow_mut();
        for work in swept {
            hops.remove(&work);
        }
    }

    /// The link to another agent.
    pub(super) fn link(&self, address: SocketAddr) -> Rc<AgentLink> {
        let mut links = self.links.borrow_mut();
        let new =
            || Rc::new(AgentLink::new(address, Rc::clone(&self.dialer), LinkTimeouts::default()));
        Rc::clone(links.entry(address).or_insert_with(new))
    }

    /// The next stage's agent in use for a request.
    pub(super) fn hop(&self, work: WorkId) -> HopChoice {
        self.hops.borrow().get(&work).copied().unwrap_or_default()
    }

    /// Changes the next stage's agent in use for a request.
    pub(super) fn set_hop(&self, work: WorkId, hop: HopChoice) {
        self.hops.borrow_mut().insert(work, hop);
    }

    /// The kept output of a step.
    pub(super) fn kept(&self, input: StepId) -> Option<Bytes> {
        self.sequencer.borrow().output(input.work, input.token)
    }

    /// The output of a step: of the engine, or of the earlier run.
    async fn output(
        self: &Rc<Self>,
        input: StepId,
        activation: &Bytes,
    ) -> Result<Bytes, StageResponse> {
        loop {
            let decision = self.sequencer.borrow_mut().begin(input, self.clock.now());
            match decision {
                StepDecision::Run => self.start(input, activation.clone()),
                StepDecision::Running => {}
                StepDecision::Ran(output) => return Ok(output),
                StepDecision::Gap { expected } => return Err(StageResponse::Gap { expected }),
                StepDecision::Replaced { open } => return Err(StageResponse::Replaced { open }),
                StepDecision::Lost | StepDecision::Ended | StepDecision::Full => {
                    return Err(StageResponse::Failed);
                }
            }
            self.completed.notified().await;
        }
    }

    /// Runs a step at the engine, to its end even when the caller is gone.
    fn start(self: &Rc<Self>, input: StepId, activation: Bytes) {
        let runner = Rc::clone(self);
        spawn_local(async move {
            match runner.engine.forward(input, &activation).await {
                Some(output) => drop(runner.sequencer.borrow_mut().complete(input, output)),
                None => runner.sequencer.borrow_mut().fail(input),
            }
            runner.completed.notify_waiters();
        });
    }
}
