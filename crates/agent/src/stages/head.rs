//! The head of a chain: feeds tokens and writes the answer.

use std::rc::Rc;

use bytes::Bytes;
use clementine_decide::stage::{StageEpoch, StageInput, TokenIndex};
use clementine_objects::Millis;
use clementine_wire::{AnswerEnd, RunOrder, SplitPlan, StageOrder, StageReply};
use futures::future::join_all;

use super::completion::SplitCompletion;
use super::runner::StageRunner;
use crate::answers::AnswerBuffer;
use crate::backend::CallEnd;

/// Runs a completion over a chain of stages and writes the answer to a
/// buffer, all but its end.
///
/// A head that replaces another one starts from the prompt again. Its own
/// engine runs all steps; the other stages answer those that have run from
/// their kept outputs.
pub(crate) async fn run_chain(
    runner: &Rc<StageRunner>,
    order: &RunOrder,
    plan: &SplitPlan,
    answer: &AnswerBuffer,
) -> CallEnd {
    let Some(completion) = SplitCompletion::parse(order) else { return CallEnd::NeverSent };
    let head = Head { runner, plan, completion: &completion, answer };
    if head.generate().await.is_none() {
        return CallEnd::Sent(AnswerEnd::BackendLost);
    }
    close_everywhere(runner, plan).await;
    CallEnd::Sent(AnswerEnd::Complete)
}

struct Head<'a> {
    runner: &'a Rc<StageRunner>,
    plan: &'a SplitPlan,
    completion: &'a SplitCompletion,
    answer: &'a AnswerBuffer,
}

impl Head<'_> {
    /// Generates all tokens; `None` when a stage could not be replaced.
    async fn generate(&self) -> Option<()> {
        let mut text = String::new();
        let mut activation = Bytes::from(self.completion.prompt.clone());
        if self.completion.stream {
            self.answer.set_head(self.completion.head());
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
            self.answer.set_head(self.completion.head());
            self.write(self.completion.whole(&text)).await;
        }
        Some(())
    }

    async fn step(&self, token: TokenIndex, activation: Bytes) -> Option<Bytes> {
        let input = StageInput { work: self.plan.work, epoch: StageEpoch::default(), token };
        let stages = self.plan.stages.clone();
        let order = StageOrder { input, activation, stages, rebuild: false };
        match self.runner.step(order).await {
            StageReply::Token(token) => Some(token),
            _ => None,
        }
    }

    async fn write(&self, chunk: Bytes) {
        self.answer.push(chunk).await;
    }
}

/// Ends the request at every agent that may hold it.
async fn close_everywhere(runner: &StageRunner, plan: &SplitPlan) {
    let work = plan.work;
    runner.close(work);
    let targets = plan.stages.iter().flat_map(|stage| &stage.0);
    let closes = targets.map(|target| {
        let link = runner.link(target.agent.address);
        async move {
            let close = link
                .call(Millis(0), |client, cx| async move { client.close_stage(cx, work).await });
            // An agent that can't be reached sweeps the request in time.
            let _ = close.await;
        }
    });
    join_all(closes).await;
}
