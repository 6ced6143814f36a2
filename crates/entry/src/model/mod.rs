//! Requests that may be run again: completions of language models and safe
//! calls of plain services.

mod attempt;
mod chain_end;
mod completion;
mod crashes;
mod pools;
mod reader;
mod resume;
mod safe_run;
mod serve;

pub(crate) use attempt::RUN_WAIT;
pub(crate) use completion::Endpoint;
pub(crate) use reader::{ReadFault, WorkReader};
