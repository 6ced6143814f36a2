//! Requests that may be run again: completions of language models and safe
//! calls of plain services.

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
