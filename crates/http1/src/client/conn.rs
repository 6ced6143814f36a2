//! Client connection.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::HeaderValue;
use actix_http::{
    Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode, header,
};
use bytes::{Buf, Bytes, BytesMut};
use snafu::ResultExt;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder};

use super::error::{ConnectError, ConnectionLostSnafu, RefusedSnafu, ResponseError};
use crate::socket;

/// The part of the response to be read next, with its codec.
enum ReadState {
    Head(ClientCodec),
    Body(ClientPayloadCodec),
    /// A close-delimited body, which the codec of `actix-http` treats as empty.
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

/// How the end of a response body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyFraming {
    /// By `Content-Length` or the last chunk.
    Delimited,
    /// By the server closing the connection.
    CloseDelimited,
}

/// How far the last queued request has been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendState {
    /// No byte of it has been sent.
    NotBegun,
    /// Some or all of it may have been sent.
    Begun,
    /// Sending failed partway. The socket has reported the reason, such as a reset, and
    /// may report the end of the connection from then on.
    Failed,
}

/// Maximum number of bytes that make up neither a head nor a part of a body: an
/// incomplete head, interim responses, sizes and extensions of chunks.
const MAX_OVERHEAD_BYTES: usize = 128 * 1024;

/// A connection to a server that carries one request at a time.
#[derive(Debug)]
pub struct ClientConn {
    io: TcpStream,
    /// `None` only temporarily within a method, while a codec is converted.
    state: Option<ReadState>,
    input: BytesMut,
    /// Encoded request bytes that have not been sent yet.
    output: BytesMut,
    sending: SendState,
    framing: BodyFraming,
    /// Bytes received since the last head or part of a body was complete.
    overhead: usize,
    /// Whether the response has been read completely.
    complete: bool,
    keep_alive: bool,
    /// Whether the response to the request may have a body.
    expects_body: bool,
}

impl ClientConn {
    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or times out.
    pub async fn connect(
        address: SocketAddr,
        connect_timeout: Duration,
        config: &ServiceConfig,
    ) -> Result<Self, ConnectError> {
        let connected = timeout(connect_timeout, TcpStream::connect(address)).await;
        let io = connected.map_err(|_| ConnectError::TimedOut)?.context(RefusedSnafu)?;
        socket::configure_client(&io).context(RefusedSnafu)?;
        Ok(Self {
            io,
            state: Some(ReadState::Head(ClientCodec::new(config.clone()))),
            input: BytesMut::new(),
            output: BytesMut::new(),
            sending: SendState::NotBegun,
            framing: BodyFraming::Delimited,
            overhead: 0,
            complete: false,
            keep_alive: false,
            expects_body: true,
        })
    }

    /// Queues a request. It is sent while [`ClientConn::read_head`] waits for the
    /// response.
    ///
    /// # Errors
    ///
    /// Returns an error if the previous response has not been read completely or
    /// the request cannot be encoded.
    pub fn queue(&mut self, head: RequestHead, body: Bytes) -> io::Result<()> {
        self.complete = false;
        self.sending = SendState::NotBegun;
        self.expects_body = head.method != Method::HEAD;
        let Some(ReadState::Head(codec)) = &mut self.state else {
            return Err(io::Error::other("the previous response has not been read completely"));
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

    /// Sends the queued request and reads the response head. The server may
    /// respond before it has read the complete request, but not before its first
    /// byte: such bytes belong to an earlier request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is lost or the response is invalid.
    pub async fn read_head(&mut self) -> Result<ResponseHead, ResponseError> {
        if !self.has_begun_request() && self.has_unread_input() {
            return Err(ResponseError::Malformed);
        }
        loop {
            if let Some(head) = self.decode_head()? {
                self.overhead = 0;
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
        self.framing = body_framing(&head);
        self.complete = false;
        if codec.message_type() == MessageType::None {
            if self.framing == BodyFraming::CloseDelimited
                && self.expects_body
                && may_have_body(&head)
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
    /// This method is cancel safe.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is truncated or badly encoded.
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
                Some(Some(chunk)) => {
                    self.overhead = 0;
                    return Ok(Some(chunk));
                }
                Some(None) => self.end_body(),
                None => match self.drive_io().await {
                    Err(ResponseError::ConnectionLost { source })
                        if self.framing == BodyFraming::CloseDelimited
                            && self.sending != SendState::Failed
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
    /// Returns an error if the body is truncated, badly encoded or larger than
    /// `limit` bytes.
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

    /// Returns whether the end of the response body is marked only by the closing
    /// of the connection.
    pub fn is_close_delimited(&self) -> bool {
        self.framing == BodyFraming::CloseDelimited
    }

    /// Returns whether another request can be sent on the connection: the last
    /// request was sent and its response read completely, the server keeps the
    /// connection alive, and no bytes followed the response.
    pub fn is_reusable(&self) -> bool {
        let idle = self.complete && self.output.is_empty();
        idle && self.keep_alive && !self.has_unread_input()
    }

    /// Returns whether any byte of the last queued request may have been sent. If
    /// not, the request can be sent on another connection.
    pub fn has_begun_request(&self) -> bool {
        self.sending != SendState::NotBegun
    }

    /// Returns whether bytes that have not been read, the end of the connection or an
    /// error is waiting.
    fn has_unread_input(&self) -> bool {
        let blocked = |read: io::Result<usize>| matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        !self.input.is_empty() || !blocked(self.io.try_read(&mut [0; 1]))
    }

    /// Waits until the socket is ready, then sends queued bytes and receives
    /// available ones.
    async fn drive_io(&mut self) -> Result<(), ResponseError> {
        let sending = !self.output.is_empty();
        let interest =
            if sending { Interest::READABLE.add(Interest::WRITABLE) } else { Interest::READABLE };
        let ready = self.io.ready(interest).await.context(ConnectionLostSnafu)?;
        if sending && ready.is_writable() {
            self.sending = SendState::Begun;
            match self.io.try_write(&self.output) {
                Ok(sent) => self.output.advance(sent),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                // The server may have responded and closed the connection before
                // reading the complete request. Its response can still be read.
                Err(_) => {
                    self.output.clear();
                    self.sending = SendState::Failed;
                }
            }
        }
        if self.overhead > MAX_OVERHEAD_BYTES {
            return Err(ResponseError::Malformed);
        }
        if ready.is_readable() || ready.is_read_closed() {
            match self.io.try_read_buf(&mut self.input) {
                Ok(0) => {
                    return Err(io::Error::from(io::ErrorKind::UnexpectedEof))
                        .context(ConnectionLostSnafu);
                }
                Ok(received) => self.overhead += received,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error).context(ConnectionLostSnafu),
            }
        }
        Ok(())
    }
}

fn body_framing(head: &ResponseHead) -> BodyFraming {
    let headers = head.headers();
    // Other transfer codings mark no end.
    let codings = headers.get_all(header::TRANSFER_ENCODING).map(HeaderValue::as_bytes);
    let delimited = headers.contains_key(header::CONTENT_LENGTH)
        || codings.map(<[u8]>::to_ascii_lowercase).any(|value| value.ends_with(b"chunked"));
    if delimited { BodyFraming::Delimited } else { BodyFraming::CloseDelimited }
}

fn may_have_body(head: &ResponseHead) -> bool {
    !matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}
