//! Has the engines hold the layers of the model. One process at a time plans.

mod lease;
mod orders;

pub(crate) use lease::plan_while_holder;
