//! HTTP server that answers with the exact bytes that a test chooses.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// What a [`ScriptedServer`] does after it has received a request.
#[derive(Debug, Clone)]
pub enum Step {
    /// Sends bytes.
    Send(Bytes),
    /// Waits.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

impl Step {
    /// Sends text.
    pub fn send(text: impl Into<String>) -> Self {
        Self::Send(text.into().into())
    }
}

/// A request as received by a [`ScriptedServer`].
#[derive(Debug)]
pub struct ScriptedRequest {
    head: String,
}

impl ScriptedRequest {
    /// Returns the path.
    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the value of a header, whose name is in lower case; empty if it is
    /// absent.
    pub fn header(&self, name: &str) -> &str {
        let fields = self.head.lines().filter_map(|line| line.split_once(':'));
        let mut values = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value.trim()).unwrap_or_default()
    }
}

/// HTTP server on a loopback port that handles each request as a script says. A
/// connection on which a script ends without closing it receives further requests.
#[derive(Debug)]
pub struct ScriptedServer {
    /// Listen address.
    pub address: SocketAddr,
    task: tokio::task::JoinHandle<()>,
    connections: Rc<Cell<usize>>,
}

impl ScriptedServer {
    /// Starts a server.
    pub async fn start(script: impl Fn(&ScriptedRequest) -> Vec<Step> + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a port");
        let address = listener.local_addr().expect("the listener is bound");
        let script = Rc::new(script);
        let connections = Rc::new(Cell::new(0));
        let accepted = Rc::clone(&connections);
        let task = spawn_local(async move {
            while let Ok((io, _)) = listener.accept().await {
                accepted.set(accepted.get() + 1);
                let script = Rc::clone(&script);
                spawn_local(serve(io, move |request| script(request)));
            }
        });
        Self { address, task, connections }
    }

    /// Number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Closes the listener. Later connections are refused.
    pub fn stop_accepting(&self) {
        self.task.abort();
    }
}

async fn serve(mut io: TcpStream, script: impl Fn(&ScriptedRequest) -> Vec<Step>) {
    let mut input = Vec::new();
    while let Some(request) = read_request(&mut io, &mut input).await {
        for step in script(&request) {
            match step {
                Step::Send(bytes) => {
                    if io.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Step::Wait(time) => sleep(time).await,
                Step::Close => return,
                Step::Reset => {
                    let _ = SockRef::from(&io).set_linger(Some(Duration::ZERO));
                    return;
                }
            }
        }
    }
}

/// Reads a request with its body; `None` if the connection ends before.
async fn read_request(io: &mut TcpStream, input: &mut Vec<u8>) -> Option<ScriptedRequest> {
    let end = loop {
        if let Some(at) = input.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at + 4;
        }
        if io.read_buf(input).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&input[..end]).into_owned();
    let request = ScriptedRequest { head };
    let body = request.header("content-length").parse().unwrap_or(0);
    while input.len() < end + body {
        if io.read_buf(input).await.ok()? == 0 {
            return None;
        }
    }
    input.drain(..end + body);
    Some(request)
}
