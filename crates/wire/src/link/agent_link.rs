//! A kept connection to one agent.

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

/// Longest wait for an agent that answers other calls.
const PATIENCE: Duration = Duration::from_secs(5);

/// Bounds of a link.
#[derive(Debug, Clone, Copy)]
pub struct LinkTimeouts {
    /// Longest time to open a connection.
    pub connect_timeout: Millis,
    /// Time by which an answer may be late before the connection is taken to
    /// be silent.
    pub silence_timeout: Millis,
    /// Pause between pings while a long call is in progress.
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

/// A kept connection to one agent, opened when needed and dropped when it
/// breaks or goes silent.
#[derive(Debug)]
pub struct AgentLink {
    address: SocketAddr,
    dialer: Rc<Dialer>,
    limits: LinkTimeouts,
    open: Mutex<()>,
    live: RefCell<Option<Live>>,
    opened: Cell<u64>,
    /// When an answer last came.
    heard: Cell<Option<Instant>>,
    round_trip_us: Cell<u64>,
}

#[derive(Debug)]
struct Live {
    number: u64,
    client: AgentClient,
    dispatch: JoinHandle<()>,
}

impl Drop for Live {
    fn drop(&mut self) {
        self.dispatch.abort();
    }
}

impl AgentLink {
    /// A link that is not connected yet.
    pub fn new(address: SocketAddr, dialer: Rc<Dialer>, limits: LinkTimeouts) -> Self {
        Self {
            address,
            dialer,
            limits,
            open: Mutex::new(()),
            live: RefCell::new(None),
            opened: Cell::new(0),
            heard: Cell::new(None),
            round_trip_us: Cell::new(0),
        }
    }

    /// Address of the agent.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections opened so far.
    pub fn connections_opened(&self) -> u64 {
        self.opened.get()
    }

    /// Last measured round trip, in microseconds.
    pub fn round_trip_us(&self) -> u64 {
        self.round_trip_us.get()
    }

    /// Makes a call that the agent answers within `wait`.
    ///
    /// When the answer is late and nothing else was heard on the connection
    /// meanwhile, the connection is silent: it is dropped, and other calls on
    /// it fail. An agent that answers other calls is slow, not silent, and is
    /// waited for up to `PATIENCE`.
    ///
    /// # Errors
    ///
    /// See [`LinkError`].
    pub async fn call<T, F>(
        &self,
        wait: Millis,
        call: impl FnOnce(AgentClient, Context) -> F,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let (number, client) = self.connected().await?;
        let limit = wait.duration() + self.limits.silence_timeout.duration();
        let mut answer = pin!(call(client, context_for(limit + PATIENCE)));
        let sent = Instant::now();
        loop {
            let asked = Instant::now();
            match timeout(limit, answer.as_mut()).await {
                Ok(result) => return self.settle(number, Some(result)),
                Err(_) if self.heard_since(asked) && sent.elapsed() < PATIENCE => {}
                Err(_) => return self.settle(number, None),
            }
        }
    }

    /// Makes a call of any length, with pings on the connection meanwhile.
    ///
    /// # Errors
    ///
    /// See [`LinkError`].
    pub async fn call_with_pings<T, F>(
        &self,
        limit: Millis,
        call: impl FnOnce(AgentClient, Context) -> F,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let (number, client) = self.connected().await?;
        let answer = timeout(limit.duration(), call(client.clone(), context_for(limit.duration())));
        let result = tokio::select! {
            result = answer => result.ok(),
            () = self.silence(client) => None,
        };
        self.settle(number, result)
    }

    /// Measures the round trip with a ping.
    ///
    /// # Errors
    ///
    /// See [`LinkError`].
    pub async fn ping(&self) -> Result<(), LinkError> {
        let sent = Instant::now();
        self.call(Millis(0), |client, cx| async move { client.describe(cx).await }).await?;
        self.record_round_trip(sent);
        Ok(())
    }

    /// Notes the time since a short call was sent as the round trip.
    pub fn record_round_trip(&self, sent: Instant) {
        self.round_trip_us.set(u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX));
    }

    /// Drops the connection, if there is one.
    pub fn close(&self) {
        self.live.borrow_mut().take();
    }

    async fn connected(&self) -> Result<(u64, AgentClient), LinkError> {
        if let Some(found) = self.present() {
            return Ok(found);
        }
        let _opening = self.open.lock().await;
        if let Some(found) = self.present() {
            return Ok(found);
        }
        let connect = self.dialer.connect(self.address);
        let stream = timeout(self.limits.connect_timeout.duration(), connect).await;
        let stream = stream.ok().and_then(Result::ok).ok_or(LinkError::NotSent)?;
        let (client, dispatch) = agent_client(stream);
        let number = self.opened.get() + 1;
        self.opened.set(number);
        let live = Live { number, client: client.clone(), dispatch };
        *self.live.borrow_mut() = Some(live);
        Ok((number, client))
    }

    fn present(&self) -> Option<(u64, AgentClient)> {
        let live = self.live.borrow();
        let live = live.as_ref().filter(|live| !live.dispatch.is_finished())?;
        Some((live.number, live.client.clone()))
    }

    /// Ends when a ping on the connection stays unanswered.
    async fn silence(&self, client: AgentClient) {
        loop {
            sleep(self.limits.ping_interval.duration()).await;
            let limit = self.limits.silence_timeout.duration();
            let ping = timeout(limit, client.describe(context_for(limit))).await;
            if !matches!(ping, Ok(Ok(_))) {
                return;
            }
        }
    }

    fn heard_since(&self, time: Instant) -> bool {
        self.heard.get().is_some_and(|heard| heard > time)
    }

    fn settle<T>(&self, number: u64, result: Option<Result<T, RpcError>>) -> Result<T, LinkError> {
        if let Some(Ok(answer)) = result {
            self.heard.set(Some(Instant::now()));
            return Ok(answer);
        }
        let mut live = self.live.borrow_mut();
        if live.as_ref().is_some_and(|live| live.number == number) {
            live.take();
        }
        Err(LinkError::ConnectionLost)
    }
}

fn context_for(limit: Duration) -> Context {
    let mut cx = context::current();
    cx.deadline = StdInstant::now() + limit;
    cx
}
