//! Framing and encoding of RPC messages.

use serde::{Deserialize, Serialize};
use tarpc::serde_transport::{self, Transport};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_serde::formats::MessagePack;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum size of a frame, in bytes.
const FRAME_MAX_BYTES: usize = 32 * 1024 * 1024;

/// Wraps a stream in a transport of length-delimited `MessagePack` frames.
pub(super) fn framed<S, Item, SinkItem>(
    stream: S,
) -> Transport<S, Item, SinkItem, MessagePack<Item, SinkItem>>
where
    S: AsyncRead + AsyncWrite,
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let codec = LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_codec();
    serde_transport::new(Framed::new(stream, codec), MessagePack::default())
}
