//! Passes the output of a step on to the next stage.

use bytes::Bytes;
use clementine_decide::ids::AgentRef;
use clementine_decide::stage::{StageEpoch, StepId, TokenIndex};
use clementine_objects::Millis;
use clementine_wire::{StageRequest, StageResponse, StageTargets};
use spdlog::warn;

use super::runner::{HopChoice, StageRunner};

/// Longest time of a step at the next stage and all after it. A broken or
/// silent connection is noticed much earlier, by pings.
const STEP_TIME: Millis = Millis(30_000);

/// Times that each agent of the next stage is tried for one step.
const ROUNDS: usize = 2;

impl StageRunner {
    /// Passes the output of a step on. When the agent in use fails, another
    /// one is rebuilt from the kept outputs and takes its place.
    pub(super) async fn pass_on(
        &self,
        input: StepId,
        output: Bytes,
        stages: &[StageTargets],
    ) -> StageResponse {
        let Some((StageTargets(targets), rest)) = stages.split_first() else {
            return StageResponse::Token(output);
        };
        let chosen = self.hop(input.work);
        let mut epoch = chosen.epoch;
        for attempt in 0..targets.len() * ROUNDS {
            let index = (chosen.target + attempt) % targets.len();
            let Some(target) = targets.get(index) else { break };
            // The same agent again: its engine has lost the request's state.
            if attempt == targets.len() {
                epoch = StageEpoch(epoch.0 + 1);
            }
            let hop = Hop { runner: self, target, rest, input };
            if let Some(token) = hop.attempt(&output, &mut epoch).await {
                self.set_hop(input.work, HopChoice { target: index, epoch });
                return StageResponse::Token(token);
            }
            warn!("stage: {} failed at step {}", target, input.token.0);
        }
        StageResponse::Failed
    }
}

/// One agent of the next stage, for one step.
struct Hop<'a> {
    runner: &'a StageRunner,
    target: &'a AgentRef,
    rest: &'a [StageTargets],
    /// The step as this agent's own stage knows it.
    input: StepId,
}

impl Hop<'_> {
    /// Runs the step at the agent and all stages after it; `None` when that
    /// fails.
    async fn attempt(&self, output: &Bytes, epoch: &mut StageEpoch) -> Option<Bytes> {
        let token = self.input.token;
        let mut lost_connection = false;
        loop {
            match self.call(*epoch, token, output.clone(), false).await {
                Some(StageResponse::Token(token)) => return Some(token),
                Some(StageResponse::Gap { expected }) if expected < token => {
                    self.rebuild(expected, *epoch).await?;
                }
                Some(StageResponse::Replaced { open }) if open > *epoch => *epoch = open,
                Some(_) => return None,
                // The agent may be well and only the connection gone.
                None if !lost_connection => lost_connection = true,
                None => return None,
            }
        }
    }

    /// Runs the steps from one on up to this one at the agent, from the kept
    /// outputs.
    async fn rebuild(&self, from: TokenIndex, epoch: StageEpoch) -> Option<()> {
        let mut token = from;
        while token < self.input.token {
            let output = self.runner.kept(StepId { token, ..self.input })?;
            let reply = self.call(epoch, token, output, true).await?;
            if reply != StageResponse::Rebuilt {
                return None;
            }
            token = token.next();
        }
        Some(())
    }

    async fn call(
        &self,
        epoch: StageEpoch,
        token: TokenIndex,
        activation: Bytes,
        rebuild: bool,
    ) -> Option<StageResponse> {
        let input = StepId { epoch, token, ..self.input };
        let order = StageRequest { input, activation, stages: self.rest.to_vec(), rebuild };
        let link = self.runner.link(self.target.address);
        let call = link
            .call_with_pings(STEP_TIME, |client, cx| async move { client.stage(cx, order).await });
        call.await.ok()
    }
}
