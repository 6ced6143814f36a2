//! One connection to a server, used for one request at a time.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::{
    Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode, header,
};
use bytes::{Buf, Bytes, BytesMut};
use snafu::ResultExt;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder};

use super::error::{BrokenSnafu, ConnectError, RefusedSnafu, ResponseError};
use crate::socket;

/// Codec of the part of the answer that comes next.
enum ReadState {
    Head(ClientCodec),
    Body(ClientPayloadCodec),
    /// A body that ends with the connection, which the library's codec takes
    /// for no body.
    Rest,
}

impl fmt::Debug for ReadState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Head(_) => "Head",
            Self::Body(_) => "Body",
            Self::Rest => "Rest",
        })
    }
}

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// By its length or by the last chunk.
    Explicit,
    /// By the end of the connection.
    CloseDelimited,
}

/// One connection to a server, used for one request at a time.
#[derive(Debug)]
pub struct ClientConn {
    io: TcpStream,
    /// Taken only within a method; never `None` between two calls.
    state: Option<ReadState>,
    input: BytesMut,
    /// Bytes of the request that are not sent yet.
    output: BytesMut,
    framing: Framing,
    /// Whether the answer has been read to its end.
    complete: bool,
    keep_alive: bool,
    /// Whether the answer to the request may have a body.
    expects_body: bool,
}

impl ClientConn {
    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// Fails when the server refuses or does not answer in time.
    pub async fn connect(
        address: SocketAddr,
        connect_timeout: Duration,
        config: &ServiceConfig,
    ) -> Result<Self, ConnectError> {
        let connected = timeout(connect_timeout, TcpStream::connect(address)).await;
        let io = connected.map_err(|_| ConnectError::TimedOut)?.context(RefusedSnafu)?;
        socket::configure(&io).context(RefusedSnafu)?;
        Ok(Self {
            io,
            state: Some(ReadState::Head(ClientCodec::new(config.clone()))),
            input: BytesMut::new(),
            output: BytesMut::new(),
            framing: Framing::Explicit,
            complete: false,
            keep_alive: false,
            expects_body: true,
        })
    }

    /// Queues a request; it is sent while [`ClientConn::read_head`] waits.
    ///
    /// # Errors
    ///
    /// Fails when the request can't be encoded.
    pub fn queue(&mut self, head: RequestHead, body: Bytes) -> io::Result<()> {
        self.complete = false;
        self.expects_body = head.method != Method::HEAD;
        let Some(ReadState::Head(codec)) = &mut self.state else {
            return Err(io::Error::other("the last answer has not been read"));
        };
        let size =
            if body.is_empty() { BodySize::None } else { BodySize::Sized(body.len() as u64) };
        codec.encode(Message::Item((RequestHeadType::Owned(head), size)), &mut self.output)?;
        if !body.is_empty() {
            codec.encode(Message::Chunk(Some(body)), &mut self.output)?;
            codec.encode(Message::Chunk(None), &mut self.output)?;
        }
        Ok(())
    }

    /// Sends what is queued and reads the headers of the answer. A server may
    /// answer before it has read the whole request.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends or the bytes are no answer.
    pub async fn read_head(&mut self) -> Result<ResponseHead, ResponseError> {
        loop {
            if let Some(head) = self.decode_head()? {
                return Ok(head);
            }
            self.drive_io().await?;
        }
    }

    fn decode_head(&mut self) -> Result<Option<ResponseHead>, ResponseError> {
        let Some(ReadState::Head(codec)) = &mut self.state else {
            return Err(ResponseError::Malformed);
        };
        let head = loop {
            match codec.decode(&mut self.input).map_err(|_| ResponseError::Malformed)? {
                Some(head) if head.status.is_informational() => {}
                Some(head) => break head,
                None => return Ok(None),
            }
        };
        self.keep_alive = codec.keep_alive() && head.keep_alive();
        self.framing = framing(&head);
        if codec.message_type() == MessageType::None {
            if self.framing == Framing::CloseDelimited && self.expects_body && may_have_body(&head)
            {
                self.state = Some(ReadState::Rest);
            } else {
                self.complete = true;
            }
        } else if let Some(ReadState::Head(codec)) = self.state.take() {
            self.state = Some(ReadState::Body(codec.into_payload_codec()));
        }
        Ok(Some(head))
    }

    /// Reads the next part of the body, or `None` at its end.
    ///
    /// Dropping the future loses nothing.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends before the body does.
    pub async fn read_chunk(&mut self) -> Result<Option<Bytes>, ResponseError> {
        while !self.complete {
            let decoded = match &mut self.state {
                Some(ReadState::Body(codec)) => {
                    codec.decode(&mut self.input).map_err(|_| ResponseError::Malformed)?
                }
                Some(ReadState::Rest) if self.input.is_empty() => None,
                Some(ReadState::Rest) => Some(Some(self.input.split().freeze())),
                _ => return Err(ResponseError::Malformed),
            };
            match decoded {
                Some(Some(chunk)) => return Ok(Some(chunk)),
                Some(None) => self.end_body(),
                None => match self.drive_io().await {
                    Err(ResponseError::Broken { source })
                        if self.framing == Framing::CloseDelimited
                            && source.kind() == io::ErrorKind::UnexpectedEof =>
                    {
                        self.keep_alive = false;
                        self.complete = true;
                    }
                    result => result?,
                },
            }
        }
        Ok(None)
    }

    fn end_body(&mut self) {
        self.complete = true;
        if let Some(ReadState::Body(codec)) = self.state.take() {
            self.state = Some(ReadState::Head(codec.into_message_codec()));
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// Fails when the body breaks off or is larger than `limit` bytes.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes, ResponseError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.read_chunk().await? {
            if body.len() + chunk.len() > limit {
                return Err(ResponseError::TooLarge);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    /// Whether the end of the answer's body is told by the end of the
    /// connection alone.
    pub fn is_close_delimited(&self) -> bool {
        self.framing == Framing::CloseDelimited
    }

    /// Whether another request may be sent on the connection: the last one was
    /// sent whole and answered whole, and nothing came after the answer.
    pub fn is_reusable(&self) -> bool {
        let buffers_empty = self.input.is_empty() && self.output.is_empty();
        let mut probe = [0; 1];
        let nothing_received = matches!(
            self.io.try_read(&mut probe),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock
        );
        self.complete && self.keep_alive && buffers_empty && nothing_received
    }

    /// Sends and receives what the socket takes and has.
    async fn drive_io(&mut self) -> Result<(), ResponseError> {
        let sending = !self.output.is_empty();
        let interest =
            if sending { Interest::READABLE.add(Interest::WRITABLE) } else { Interest::READABLE };
        let ready = self.io.ready(interest).await.context(BrokenSnafu)?;
        if sending && ready.is_writable() {
            match self.io.try_write(&self.output) {
                Ok(sent) => self.output.advance(sent),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                // A server that answers early may have closed; its answer is
                // still to be read.
                Err(_) => self.output.clear(),
            }
        }
        if ready.is_readable() || ready.is_read_closed() {
            match self.io.try_read_buf(&mut self.input) {
                Ok(0) => {
                    return Err(io::Error::from(io::ErrorKind::UnexpectedEof)).context(BrokenSnafu);
                }
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error).context(BrokenSnafu),
            }
        }
        Ok(())
    }
}

fn framing(head: &ResponseHead) -> Framing {
    let headers = head.headers();
    let explicit = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    if explicit { Framing::Explicit } else { Framing::CloseDelimited }
}

fn may_have_body(head: &ResponseHead) -> bool {
    !matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}
