//! Enforcement of the declared limits of workspaces.

mod exchange;
mod place;

pub(crate) use exchange::LimitBoards;
pub(crate) use place::LimitPlace;
