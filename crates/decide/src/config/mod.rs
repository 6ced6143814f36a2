//! The configuration that a process holds.

mod held;
mod update;

pub use held::HeldConfig;
pub use update::ConfigUpdate;
