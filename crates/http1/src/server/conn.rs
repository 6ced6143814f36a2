//! One connection from a caller.

use std::future::pending;
use std::io;

use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::{
    ConnectionType, KeepAlive, Request, RequestHead, Response, ServiceConfig, ServiceConfigBuilder,
};
use bytes::{Bytes, BytesMut};
use snafu::ResultExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder};

use super::error::{BrokenSnafu, ReadError};
use super::{BufferedRequest, ReadLimits};
use crate::socket;

/// Interim answer to `Expect: 100-continue`.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// One connection from a caller, which serves one request at a time.
#[derive(Debug)]
pub struct ServerConn {
    io: TcpStream,
    codec: Codec,
    input: BytesMut,
    output: BytesMut,
}

impl ServerConn {
    /// Takes over an accepted connection.
    ///
    /// # Errors
    ///
    /// Fails when the socket's options can't be set.
    pub fn new(io: TcpStream, config: &ServiceConfig) -> io::Result<Self> {
        socket::configure(&io)?;
        let codec = Codec::new(config.clone());
        Ok(Self { io, codec, input: BytesMut::new(), output: BytesMut::new() })
    }

    /// Configuration of the codec, to be shared by all connections.
    ///
    /// The connection keeps its own time limits, so the codec has none.
    pub fn codec_config() -> ServiceConfig {
        ServiceConfigBuilder::new().keep_alive(KeepAlive::Os).build()
    }

    /// Waits for the first byte of a request.
    ///
    /// # Errors
    ///
    /// Fails when the caller leaves or stays idle for too long.
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

    /// Reads a whole request, of which the first byte has arrived.
    ///
    /// # Errors
    ///
    /// Fails when the request breaks off, is too large or is malformed.
    pub async fn read_request(
        &mut self,
        limits: &ReadLimits,
    ) -> Result<BufferedRequest, ReadError> {
        let head = timeout(limits.head_timeout, self.read_head(limits)).await;
        let head = head.map_err(|_| ReadError::TimedOut)??;
        if expects_continue(&head) {
            self.io.write_all(CONTINUE).await.context(BrokenSnafu)?;
        }
        let body = self.read_body(limits).await?;
        Ok(BufferedRequest { head, body })
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
                Ok(None) => self.fill().await?,
            }
        }
    }

    async fn read_body(&mut self, limits: &ReadLimits) -> Result<Bytes, ReadError> {
        let mut body = BytesMut::new();
        while self.codec.message_type() != actix_http::h1::MessageType::None {
            match self.codec.decode(&mut self.input) {
                Ok(Some(Message::Chunk(Some(chunk)))) => body.extend_from_slice(&chunk),
                Ok(Some(Message::Chunk(None))) => break,
                Ok(Some(Message::Item(_))) | Err(_) => return Err(ReadError::Malformed),
                Ok(None) => {
                    let filled = timeout(limits.head_timeout, self.fill()).await;
                    filled.map_err(|_| ReadError::TimedOut)??;
                }
            }
            if body.len() > limits.max_body_bytes {
                return Err(ReadError::BodyTooLarge);
            }
        }
        Ok(body.freeze())
    }

    async fn fill(&mut self) -> Result<(), ReadError> {
        let read = self.io.read_buf(&mut self.input).await.context(BrokenSnafu)?;
        if read == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof)).context(BrokenSnafu);
        }
        Ok(())
    }

    /// Waits until the caller has left. Bytes of a next request are kept.
    ///
    /// Dropping the future loses nothing.
    pub async fn closed(&mut self) {
        /// Bytes of further requests that are read ahead.
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

    /// Whether the caller may send another request after this one.
    pub fn keeps_alive(&self) -> bool {
        self.codec.keep_alive()
    }

    /// Sends a whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    pub async fn send(&mut self, res: Response<()>, body: &Bytes) -> io::Result<()> {
        self.start(res, BodySize::Sized(body.len() as u64))?;
        self.codec.encode(Message::Chunk(Some(body.clone())), &mut self.output)?;
        self.codec.encode(Message::Chunk(None), &mut self.output)?;
        self.flush().await
    }

    /// Sends a whole answer whose end is told by the end of the connection.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
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

    /// Sends the headers of an answer whose length is not known.
    ///
    /// # Errors
    ///
    /// Fails when the answer can't be encoded.
    pub fn start_stream(&mut self, res: Response<()>) -> io::Result<()> {
        self.start(res, BodySize::Stream)
    }

    fn start(&mut self, res: Response<()>, size: BodySize) -> io::Result<()> {
        self.codec.encode(Message::Item((res, size)), &mut self.output)
    }

    /// Sends a part of the body.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    pub async fn send_chunk(&mut self, chunk: Bytes) -> io::Result<()> {
        self.codec.encode(Message::Chunk(Some(chunk)), &mut self.output)?;
        self.flush().await
    }

    /// Ends a body whose length was not known.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    pub async fn finish_stream(&mut self) -> io::Result<()> {
        self.codec.encode(Message::Chunk(None), &mut self.output)?;
        self.flush().await
    }

    /// Sends what is queued. Dropping the future loses nothing: what has not
    /// been sent goes out with the next flush.
    async fn flush(&mut self) -> io::Result<()> {
        while !self.output.is_empty() {
            self.io.write_buf(&mut self.output).await?;
        }
        Ok(())
    }

    /// Ends the connection in an orderly way.
    pub async fn close(mut self) {
        // The caller may be gone already, which ends the connection as well.
        let _ = self.io.shutdown().await;
    }
}

fn into_head(req: Request) -> RequestHead {
    let (head, _) = req.into_parts();
    RequestHead::clone(&head)
}

fn expects_continue(head: &RequestHead) -> bool {
    let value = head.headers().get(actix_http::header::EXPECT);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}
