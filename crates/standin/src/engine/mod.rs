//! Fake model engine.

mod completion;
mod router;
mod stages;
mod stream;
mod tokens;

pub(crate) use router::{Engine, EngineSettings};
