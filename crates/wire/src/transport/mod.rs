//! tarpc over a byte stream.

mod client;
mod codec;
mod server;

pub use client::agent_client;
pub use server::serve_agent;
