//! The configuration: learnt from the store and from agents, published to
//! the store.

mod follow;
mod publish;

pub(crate) use publish::PublishRequest;
