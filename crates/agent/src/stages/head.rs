//! The head of a chain of stages, which drives the generation and writes the
//! response.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use clementine_decide::stage::{StageEpoch, StepId, TokenIndex};
use clementine_wire::{RunRequest, SplitPlan, StageRequest, StageResponse, WorkOutcome};

use super::completion::SplitCompletion;
use super::runner::StageRunner;
use crate::backend::CallOutcome;
use crate::responses::ResponseBuffer;

/// Runs a completion through a chain of stages and writes the response to a
/// buffer. The caller records the outcome in the buffer.
///
/// A head that replaces another one starts again from the prompt. Its own engine
/// executes every step; the other stages reuse the retained outputs of the steps
/// that they have already executed.
pub(crate) async fn run_chain(
    runner: &Rc<StageRunner>,
    request: &RunRequest,
    plan: &SplitPlan,
    response: &ResponseBuffer,
) -> CallOutcome {
    let Some(completion) = SplitCompletion::parse(request) else { return CallOutcome::NotSent };
    let head = Head { runner, plan, completion: &completion, epoch: Cell::default(), response };
    if head.generate().await.is_none() {
        return CallOutcome::Sent(WorkOutcome::BackendLost(None));
    }
    CallOutcome::Sent(WorkOutcome::Complete)
}

/// The state of one generation.
struct Head<'a> {
    runner: &'a Rc<StageRunner>,
    plan: &'a SplitPlan,
    completion: &'a SplitCompletion,
    /// Epoch of the request at this agent's stage.
    epoch: Cell<StageEpoch>,
    response: &'a ResponseBuffer,
}

impl Head<'_> {
    /// Generates all tokens. Returns `None` if a stage failed and no fallback was
    /// available.
    async fn generate(&self) -> Option<()> {
        let mut text = String::new();
        let mut activation = Bytes::from(self.completion.prompt.clone());
        if self.completion.stream {
            self.response.set_head(self.completion.response_head());
        }
        for index in 0..self.completion.max_tokens {
            let token = self.step(TokenIndex(index), activation).await?;
            let piece = String::from_utf8_lossy(&token);
            if !self.completion.stream {
                text.push_str(&piece);
            } else if index >= self.plan.delivered {
                self.write(self.completion.token_event(&piece)).await;
            }
            activation = token;
        }
        if self.completion.stream {
            self.write(self.completion.end_events()).await;
        } else {
            self.response.set_head(self.completion.response_head());
            self.write(self.completion.full_response(&text)).await;
        }
        Some(())
    }

    async fn step(&self, token: TokenIndex, activation: Bytes) -> Option<Bytes> {
        loop {
            let SplitPlan { work, head, ref stages, .. } = *self.plan;
            let step = StepId { work, head, epoch: self.epoch.get(), token };
            let (activation, stages) = (activation.clone(), stages.clone());
            let request = StageRequest { step, activation, stages, rebuild: false };
            match self.runner.step(request).await {
                StageResponse::Token(token) => return Some(token),
                // An earlier head ran the request at this agent, in another epoch.
                StageResponse::Replaced { current } if token == TokenIndex::default() => {
                    self.epoch.set(current);
                }
                _ => return None,
            }
        }
    }

    async fn write(&self, chunk: Bytes) {
        self.response.push(chunk).await;
    }
}
