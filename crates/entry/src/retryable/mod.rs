//! Requests that may be retried: completions of language models, and calls of
//! routes that are safe to repeat.

mod attempt;
mod chain_cleanup;
mod completion;
mod crashes;
mod pools;
mod reader;
mod resume;
mod run;
mod serve;

pub(crate) use attempt::RUN_TIMEOUT;
pub(crate) use completion::Endpoint;
pub(crate) use reader::{ReadError, WorkReader};
