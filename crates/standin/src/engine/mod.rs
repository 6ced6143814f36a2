//! Stand-in of a model engine.

mod completion;
mod router;
mod stages;
mod stream;
mod words;

pub(crate) use router::{Engine, EngineSettings};
