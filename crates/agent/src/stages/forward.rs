//! Forwarding of step outputs to the next stage, with failover.

use bytes::Bytes;
use clementine_decide::ids::AgentRef;
use clementine_decide::stage::{StageEpoch, StepId, TokenIndex};
use clementine_objects::Millis;
use clementine_wire::{StageRequest, StageResponse, StageTargets};
use spdlog::warn;

use super::runner::{NextStage, StageRunner};

/// Timeout of a step at all later stages. A broken or silent connection is
/// detected much earlier, by pings.
const STEP_TIMEOUT: Millis = Millis(30_000);

/// Number of times that each agent of the next stage is tried for one step.
const ATTEMPTS_PER_TARGET: usize = 2;

impl StageRunner {
    /// Forwards the output of a step to the next stage and returns the generated
    /// token. If the agent in use fails, fails over to another one, whose state
    /// is rebuilt from the retained outputs.
    pub(super) async fn forward_output(
        &self,
        step: StepId,
        output: Bytes,
        stages: &[StageTargets],
    ) -> StageResponse {
        let Some((StageTargets(targets), later_stages)) = stages.split_first() else {
            return StageResponse::Token(output);
        };
        let current = self.next_stage(step.work);
        let mut epoch = current.epoch;
        for attempt in 0..targets.len() * ATTEMPTS_PER_TARGET {
            let index = (current.target + attempt) % targets.len();
            let Some(target) = targets.get(index) else { break };
            // All agents have failed once. A higher epoch restarts the request at
            // an agent whose engine has lost the request's state.
            if attempt == targets.len() {
                epoch = StageEpoch(epoch.0 + 1);
            }
            let call = NextStageCall { runner: self, target, later_stages, step };
            if let Some(token) = call.run(&output, &mut epoch).await {
                self.set_next_stage(step.work, NextStage { target: index, epoch });
                return StageResponse::Token(token);
            }
            warn!("stage: agent {} failed at step {}", target, step.token.0);
        }
        StageResponse::Failed
    }
}

/// One step at one agent of the next stage.
struct NextStageCall<'a> {
    runner: &'a StageRunner,
    target: &'a AgentRef,
    later_stages: &'a [StageTargets],
    /// The step at this agent's own stage.
    step: StepId,
}

impl NextStageCall<'_> {
    /// Runs the step at the agent and all later stages. Returns `None` if that
    /// fails.
    async fn run(&self, output: &Bytes, epoch: &mut StageEpoch) -> Option<Bytes> {
        let token = self.step.token;
        let mut retried = false;
        loop {
            match self.call(*epoch, token, output.clone(), false).await {
                Some(StageResponse::Token(token)) => return Some(token),
                Some(StageResponse::Gap { expected }) if expected < token => {
                    self.rebuild(expected, *epoch).await?;
                }
                Some(StageResponse::Replaced { current }) if current > *epoch => *epoch = current,
                Some(_) => return None,
                // Retry once: the connection may have failed, not the agent.
                None if !retried => retried = true,
                None => return None,
            }
        }
    }

    /// Rebuilds the agent's state by running the steps from `from` up to, but not
    /// including, this one with the retained outputs.
    async fn rebuild(&self, from: TokenIndex, epoch: StageEpoch) -> Option<()> {
        let mut token = from;
        while token < self.step.token {
            let output = self.runner.retained_output(StepId { token, ..self.step })?;
            let response = self.call(epoch, token, output, true).await?;
            if response != StageResponse::Rebuilt {
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
        let step = StepId { epoch, token, ..self.step };
        let request =
            StageRequest { step, activation, stages: self.later_stages.to_vec(), rebuild };
        let link = self.runner.link(self.target.address);
        let call = link.call_with_pings(STEP_TIMEOUT, |client, cx| async move {
            client.stage(cx, request).await
        });
        call.await.ok()
    }
}
