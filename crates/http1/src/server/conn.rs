//! Server connection.

use std::future::pending;
use std::io;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::{
    ConnectionType, KeepAlive, Request, RequestHead, Response, ServiceConfig, ServiceConfigBuilder,
    Version, header,
};
use bytes::{Bytes, BytesMut};
use snafu::ResultExt;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::codec::{Decoder, Encoder};

use super::error::{ConnectionLostSnafu, ReadError};
use super::{BufferedRequest, ReadLimits};
use crate::body_budget::{BodyBudget, BodyMemory, FREE_BYTES};
use crate::socket;

/// Interim response to `Expect: 100-continue`.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Maximum time for which a client may take no byte of a response. Bounds the life of
/// connections whose client is gone or never reads; a slow client takes some bytes.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A connection from a client that carries one request at a time.
#[derive(Debug)]
pub struct ServerConn {
    io: TcpStream,
    codec: Codec,
    input: BytesMut,
    output: BytesMut,
    /// Memory for bodies; `None` for no bound.
    body_budget: Option<BodyBudget>,
    /// HTTP version of the last request.
    version: Version,
    /// Whether a response to the last request has begun.
    response_begun: bool,
    /// Whether only the end of the connection marks the end of the last response's body.
    is_close_delimited: bool,
}

impl ServerConn {
    /// Wraps an accepted connection and sets its socket options.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket options cannot be set.
    pub fn new(io: TcpStream, config: &ServiceConfig) -> io::Result<Self> {
        socket::configure_server(&io)?;
        let codec = Codec::new(config.clone());
        let (input, output) = (BytesMut::new(), BytesMut::new());
        Ok(Self {
            io,
            codec,
            input,
            output,
            body_budget: None,
            version: Version::HTTP_11,
            response_begun: false,
            is_close_delimited: false,
        })
    }

    /// Returns the codec configuration, which all connections can share.
    ///
    /// The codec has no timeouts because [`ReadLimits`] sets them.
    pub fn codec_config() -> ServiceConfig {
        ServiceConfigBuilder::new().keep_alive(KeepAlive::Os).build()
    }

    /// Sets the budget from which the memory for the bodies of requests is taken.
    pub fn set_body_budget(&mut self, budget: BodyBudget) {
        self.body_budget = Some(budget);
    }

    /// Waits for the first byte of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is closed or idle for too long.
    pub async fn wait_request(&mut self, limits: &ReadLimits) -> Result<(), ReadError> {
        if !self.input.is_empty() {
            return Ok(());
        }
        let read = timeout(limits.idle_timeout, self.io.read_buf(&mut self.input)).await;
        match read.map_err(|_| ReadError::Idle)? {
            Ok(0) | Err(_) => Err(ReadError::Closed),
            Ok(_) => Ok(()),
        }
    }

    /// Reads a complete request, after [`ServerConn::wait_request`] has received
    /// its first byte.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is truncated, too large, malformed or not
    /// received in time.
    pub async fn read_request(
        &mut self,
        limits: &ReadLimits,
    ) -> Result<BufferedRequest, ReadError> {
        self.response_begun = false;
        let head = timeout(limits.head_timeout, self.read_head(limits)).await;
        let head = head.map_err(|_| ReadError::TimedOut)??;
        self.version = head.version;
        let length = content_length(&head).min(limits.max_body_bytes);
        let memory = self.take_body_memory(length).await?;
        if expects_continue(&head) {
            self.io.write_all(CONTINUE).await.context(ConnectionLostSnafu)?;
        }
        let (body, memory) = self.read_body(limits, length, memory).await?;
        Ok(BufferedRequest { head, body, memory })
    }

    async fn read_head(&mut self, limits: &ReadLimits) -> Result<RequestHead, ReadError> {
        loop {
            let before = self.input.len();
            match self.codec.decode(&mut self.input) {
                Ok(Some(Message::Item(req))) => {
                    let too_large = before - self.input.len() > limits.max_head_bytes;
                    return if too_large {
                        Err(ReadError::HeadTooLarge)
                    } else {
                        Ok(into_head(req))
                    };
                }
                Ok(Some(Message::Chunk(_))) | Err(_) => return Err(ReadError::Malformed),
                Ok(None) if self.input.len() > limits.max_head_bytes => {
                    return Err(ReadError::HeadTooLarge);
                }
                Ok(None) => {
                    self.fill().await?;
                }
            }
        }
    }

    /// Takes the memory for a body, unless it is small or there is no budget.
    async fn take_body_memory(&self, bytes: usize) -> Result<Option<BodyMemory>, ReadError> {
        match &self.body_budget {
            Some(budget) if bytes > FREE_BYTES => {
                Ok(Some(budget.take_soon(bytes).await.ok_or(ReadError::NoMemory)?))
            }
            _ => Ok(None),
        }
    }

    /// Reads a body, whose length is 0 if the head does not tell it. Takes the memory for
    /// one that turns out to be large.
    async fn read_body(
        &mut self,
        limits: &ReadLimits,
        length: usize,
        mut memory: Option<BodyMemory>,
    ) -> Result<(Bytes, Option<BodyMemory>), ReadError> {
        let started = Instant::now();
        // A buffer that grows would need up to twice the size of the body.
        let mut body = BytesMut::with_capacity(length);
        // Bytes since the last part of the body: sizes and extensions of chunks.
        let mut overhead = 0;
        while self.codec.message_type() != actix_http::h1::MessageType::None {
            match self.codec.decode(&mut self.input) {
                Ok(Some(Message::Chunk(Some(chunk)))) => {
                    overhead = 0;
                    body.extend_from_slice(&chunk);
                }
                Ok(Some(Message::Chunk(None))) => break,
                Ok(Some(Message::Item(_))) | Err(_) => return Err(ReadError::Malformed),
                Ok(None) if overhead > limits.max_head_bytes => return Err(ReadError::Malformed),
                Ok(None) => {
                    let last_wait = Instant::now() + limits.head_timeout;
                    let until = last_wait.min(started + limits.body_time(body.len()));
                    let filled = timeout_at(until, self.fill()).await;
                    overhead += filled.map_err(|_| ReadError::TimedOut)??;
                }
            }
            if body.len() > limits.max_body_bytes {
                return Err(ReadError::BodyTooLarge);
            }
            if body.len() > FREE_BYTES && memory.is_none() {
                memory = self.take_body_memory(limits.max_body_bytes).await?;
            }
        }
        if let Some(memory) = &mut memory {
            memory.shrink(body.len());
        }
        Ok((body.freeze(), memory))
    }

    /// Receives available bytes and returns their number.
    async fn fill(&mut self) -> Result<usize, ReadError> {
        let read = self.io.read_buf(&mut self.input).await.context(ConnectionLostSnafu)?;
        if read == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof)).context(ConnectionLostSnafu);
        }
        Ok(read)
    }

    /// Waits until the client closes the connection or it fails. Bytes received
    /// meanwhile are kept for the next request; once too many have been received,
    /// the socket is no longer read and the future never completes.
    ///
    /// This method is cancel safe.
    pub async fn wait_closed(&mut self) {
        /// Bytes of pipelined requests above which reading stops.
        const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
        loop {
            if self.input.len() > MAX_READ_AHEAD_BYTES {
                return pending().await;
            }
            match self.io.read_buf(&mut self.input).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Returns whether the connection stays open for another request.
    pub fn keeps_alive(&self) -> bool {
        self.codec.keep_alive()
    }

    /// Sends a complete response with its `Content-Length`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn send(&mut self, res: Response<()>, body: &Bytes) -> io::Result<()> {
        self.start(res, BodySize::Sized(body.len() as u64))?;
        self.codec.encode(Message::Chunk(Some(body.clone())), &mut self.output)?;
        self.codec.encode(Message::Chunk(None), &mut self.output)?;
        self.flush().await
    }

    /// Sends a complete response with a close-delimited body. The caller has to
    /// close the connection afterwards.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn send_close_delimited(
        &mut self,
        mut res: Response<()>,
        body: &Bytes,
    ) -> io::Result<()> {
        res.head_mut().no_chunking(true);
        res.head_mut().set_connection_type(ConnectionType::Close);
        self.start(res, BodySize::Stream)?;
        self.send_chunk(body.clone()).await
    }

    /// Queues the head of a response whose length is not known. It is sent with
    /// the first chunk or the end of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the response cannot be encoded.
    pub fn start_stream(&mut self, res: Response<()>) -> io::Result<()> {
        self.start(res, BodySize::Stream)
    }

    /// Returns whether a response to the last request has begun. If so, no other
    /// response may be sent.
    pub const fn has_begun_response(&self) -> bool {
        self.response_begun
    }

    fn start(&mut self, mut res: Response<()>, size: BodySize) -> io::Result<()> {
        self.response_begun = true;
        if size == BodySize::Stream && self.version < Version::HTTP_11 {
            res.head_mut().no_chunking(true);
            res.head_mut().set_connection_type(ConnectionType::Close);
        }
        self.is_close_delimited = size == BodySize::Stream && !res.head().chunked();
        self.codec.encode(Message::Item((res, size)), &mut self.output)
    }

    /// Sends a part of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn send_chunk(&mut self, chunk: Bytes) -> io::Result<()> {
        self.codec.encode(Message::Chunk(Some(chunk)), &mut self.output)?;
        self.flush().await
    }

    /// Ends a body started with [`ServerConn::start_stream`].
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn finish_stream(&mut self) -> io::Result<()> {
        self.codec.encode(Message::Chunk(None), &mut self.output)?;
        self.flush().await
    }

    /// Sends all queued bytes. This method is cancel safe: bytes that have not
    /// been sent remain queued for the next flush.
    async fn flush(&mut self) -> io::Result<()> {
        let is_large = self.output.len() > FREE_BYTES;
        while !self.output.is_empty() {
            let written = timeout(WRITE_STALL_TIMEOUT, self.io.write_buf(&mut self.output)).await;
            written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        }
        if is_large {
            // A connection that stays open does not keep the memory.
            self.output = BytesMut::new();
        }
        Ok(())
    }

    /// Gives up a response that has begun. If only the end of the connection marks the end
    /// of its body, the connection is reset, so that the part does not look complete.
    pub fn abort(self) {
        if self.is_close_delimited {
            // Without the option, the connection is closed in order.
            let _ = SockRef::from(&self.io).set_linger(Some(Duration::ZERO));
        }
    }

    /// Shuts down the write side of the connection, and drops it once the client has
    /// closed it too. If unread bytes were left, the system would reset the connection,
    /// and the client might lose the last response.
    pub async fn close(mut self) {
        /// Maximum time for which the client is waited for.
        const LINGER_TIMEOUT: Duration = Duration::from_millis(100);
        // Shutdown fails if the client has already closed the connection, which
        // has the same effect.
        let _ = self.io.shutdown().await;
        let mut discarded = [0; 4096];
        let closed = async {
            while self.io.read(&mut discarded).await.is_ok_and(|received| received > 0) {}
        };
        let _ = timeout(LINGER_TIMEOUT, closed).await;
    }
}

fn into_head(req: Request) -> RequestHead {
    let (head, _) = req.into_parts();
    RequestHead::clone(&head)
}

/// Length of the body that follows a head, or 0 if the head does not tell it.
fn content_length(head: &RequestHead) -> usize {
    let length = head.headers().get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    length.and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}

fn expects_continue(head: &RequestHead) -> bool {
    let value = head.headers().get(actix_http::header::EXPECT);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}
