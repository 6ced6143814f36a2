//! Persistent RPC connection to an agent.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant as StdInstant};

use clementine_net::Dialer;
use clementine_objects::Millis;
use tarpc::client::RpcError;
use tarpc::context::{self, Context};
use tokio::sync::Mutex;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use super::LinkError;
use crate::AgentClient;
use crate::transport::agent_client;

/// Maximum time to wait for a late response while other calls on the connection
/// receive responses.
///
/// An agent that responds to other calls is alive and the late call is only
/// queued. Dropping the connection would fail every call on it, and the retries
/// would keep the queue long.
const MAX_SLOW_RESPONSE_WAIT: Duration = Duration::from_secs(5);

/// Timeouts and ping interval of a link.
#[derive(Debug, Clone, Copy)]
pub struct LinkTimeouts {
    /// Maximum time to establish a connection.
    pub connect_timeout: Millis,
    /// Time after which an overdue response or ping marks the connection as
    /// unresponsive.
    pub silence_timeout: Millis,
    /// Interval between pings during a long call.
    pub ping_interval: Millis,
}

impl Default for LinkTimeouts {
    fn default() -> Self {
        Self {
            connect_timeout: Millis(300),
            silence_timeout: Millis(300),
            ping_interval: Millis(200),
        }
    }
}

/// A persistent connection to an agent. It is opened on demand and dropped when
/// it fails or the agent stops responding.
#[derive(Debug)]
pub struct AgentLink {
    address: SocketAddr,
    dialer: Rc<Dialer>,
    timeouts: LinkTimeouts,
    /// Held while a connection is being opened, so that only one is opened.
    connect_lock: Mutex<()>,
    connection: RefCell<Option<Connection>>,
    connections_opened: Cell<u64>,
    last_response: Cell<Option<Instant>>,
    round_trip_us: Cell<u64>,
}

#[derive(Debug)]
struct Connection {
    id: u64,
    client: AgentClient,
    dispatch: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.dispatch.abort();
    }
}

impl AgentLink {
    /// Creates a link without opening a connection.
    pub fn new(address: SocketAddr, dialer: Rc<Dialer>, timeouts: LinkTimeouts) -> Self {
        Self {
            address,
            dialer,
            timeouts,
            connect_lock: Mutex::new(()),
            connection: RefCell::new(None),
            connections_opened: Cell::new(0),
            last_response: Cell::new(None),
            round_trip_us: Cell::new(0),
        }
    }

    /// Address of the agent.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections opened so far.
    pub fn connections_opened(&self) -> u64 {
        self.connections_opened.get()
    }

    /// Most recently measured round-trip time, in microseconds.
    pub fn round_trip_us(&self) -> u64 {
        self.round_trip_us.get()
    }

    /// Makes a call that the agent is expected to respond to within `wait`.
    ///
    /// The response is overdue after `wait` plus the silence timeout. If no
    /// other response arrived on the connection meanwhile, the connection is
    /// dropped and all calls on it fail. An agent that responds to other calls is
    /// slow rather than unresponsive; it gets up to `MAX_SLOW_RESPONSE_WAIT`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be established or fails, or if
    /// the agent does not respond in time; see [`LinkError`].
    pub async fn call<T, F>(
        &self,
        wait: Millis,
        call: impl FnOnce(AgentClient, Context) -> F,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let (connection_id, client) = self.connect().await?;
        let limit = wait.duration() + self.timeouts.silence_timeout.duration();
        let mut response = pin!(call(client, context_for(limit + MAX_SLOW_RESPONSE_WAIT)));
        let sent = Instant::now();
        loop {
            let wait_start = Instant::now();
            match timeout(limit, response.as_mut()).await {
                Ok(result) => return self.finish_call(connection_id, Some(result)),
                Err(_)
                    if self.responded_since(wait_start)
                        && sent.elapsed() < MAX_SLOW_RESPONSE_WAIT => {}
                Err(_) => return self.finish_call(connection_id, None),
            }
        }
    }

    /// Makes a call that may take up to `limit`, and pings the agent on the same
    /// connection meanwhile to detect that it stopped responding.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be established or fails, or if
    /// the agent does not respond in time; see [`LinkError`].
    pub async fn call_with_pings<T, F>(
        &self,
        limit: Millis,
        call: impl FnOnce(AgentClient, Context) -> F,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let (connection_id, client) = self.connect().await?;
        let response =
            timeout(limit.duration(), call(client.clone(), context_for(limit.duration())));
        let result = tokio::select! {
            result = response => result.ok(),
            () = self.ping_until_failure(client) => None,
        };
        self.finish_call(connection_id, result)
    }

    /// Measures the round-trip time with a ping.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be established or fails, or if
    /// the agent does not respond in time; see [`LinkError`].
    pub async fn ping(&self) -> Result<(), LinkError> {
        let sent = Instant::now();
        self.call(Millis(0), |client, cx| async move { client.describe(cx).await }).await?;
        self.record_round_trip(sent);
        Ok(())
    }

    /// Records the time since a short call was sent as the round-trip time.
    pub fn record_round_trip(&self, sent: Instant) {
        self.round_trip_us.set(u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX));
    }

    /// Closes the connection if one is open.
    pub fn close(&self) {
        self.connection.borrow_mut().take();
    }

    /// Returns the current connection, or opens one if there is none.
    async fn connect(&self) -> Result<(u64, AgentClient), LinkError> {
        if let Some(current) = self.current_connection() {
            return Ok(current);
        }
        let _guard = self.connect_lock.lock().await;
        // Another call may have connected while this one waited for the lock.
        if let Some(current) = self.current_connection() {
            return Ok(current);
        }
        let connect = self.dialer.connect(self.address);
        let stream = timeout(self.timeouts.connect_timeout.duration(), connect).await;
        let stream = stream.ok().and_then(Result::ok).ok_or(LinkError::NotSent)?;
        let (client, dispatch) = agent_client(stream);
        let id = self.connections_opened.get() + 1;
        self.connections_opened.set(id);
        let connection = Connection { id, client: client.clone(), dispatch };
        *self.connection.borrow_mut() = Some(connection);
        Ok((id, client))
    }

    fn current_connection(&self) -> Option<(u64, AgentClient)> {
        let connection = self.connection.borrow();
        let open = connection.as_ref().filter(|open| !open.dispatch.is_finished())?;
        Some((open.id, open.client.clone()))
    }

    /// Pings the agent periodically and returns when a ping fails or times out.
    async fn ping_until_failure(&self, client: AgentClient) {
        loop {
            sleep(self.timeouts.ping_interval.duration()).await;
            let limit = self.timeouts.silence_timeout.duration();
            let ping = timeout(limit, client.describe(context_for(limit))).await;
            if !matches!(ping, Ok(Ok(_))) {
                return;
            }
        }
    }

    /// Returns whether a response has arrived after `time`.
    fn responded_since(&self, time: Instant) -> bool {
        self.last_response.get().is_some_and(|last| last > time)
    }

    /// Records the time of a successful response. After an error or a timeout
    /// (`None`), drops the connection that the call used, unless it has been
    /// replaced meanwhile.
    fn finish_call<T>(
        &self,
        connection_id: u64,
        result: Option<Result<T, RpcError>>,
    ) -> Result<T, LinkError> {
        if let Some(Ok(response)) = result {
            self.last_response.set(Some(Instant::now()));
            return Ok(response);
        }
        let mut connection = self.connection.borrow_mut();
        if connection.as_ref().is_some_and(|current| current.id == connection_id) {
            connection.take();
        }
        Err(LinkError::ConnectionLost)
    }
}

fn context_for(limit: Duration) -> Context {
    let mut cx = context::current();
    cx.deadline = StdInstant::now() + limit;
    cx
}
