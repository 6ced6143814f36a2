//! HTTP/1 server built on `actix-http`.

mod body;
mod listener;
mod respond;
mod serve;

pub use body::{BodyError, discard_body, read_body};
pub use listener::{bind_reusable, close_listener};
pub use respond::{json_response, text_response};
pub use serve::{CLOSE_DELAY, HttpLimits, serve_http};
