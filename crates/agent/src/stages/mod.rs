//! Stages of split models.
//!
//! The head agent feeds one token at a time to its engine; each agent passes
//! the activation on to the agent of the next stage, and the last stage's
//! token comes back as the answer to the call. Each stage keeps its outputs:
//! a replacement of the next stage is rebuilt from them while all other stages
//! run nothing again.

mod completion;
mod engine;
mod forward;
mod head;
mod runner;

pub(crate) use head::run_chain;
pub(crate) use runner::StageRunner;
