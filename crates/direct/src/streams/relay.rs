//! One run of a stream: the request sent to one backend server and its events
//! passed on.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;

use actix_http::ConnectionType;
use clementine_decide::events::EventSplitter;
use clementine_http1::{Exchange, ServerConn};
use clementine_platform::requests::{BackendResponse, relayed_response};
use tokio::time::sleep_until;

use super::open::{Opened, open};
use super::progress::Progress;
use super::route::StreamRoute;
use crate::buffered::BufferedResponse;
use crate::hub::{Hub, RequestContext};

/// How a run ended.
pub(super) enum RunEnd {
    /// The stream is complete.
    Complete,
    /// The caller has left.
    CallerLeft,
    /// The caller stops waiting now.
    OutOfTime,
    /// The backend server's failure, whole.
    Failed(BufferedResponse),
    /// Nothing was sent.
    NotSent,
    /// The request did not run; the engine at fault, where the answer tells.
    NotRun(Option<SocketAddr>),
    /// The run broke off, or brought what can't be used.
    Lost(&'static str),
}

/// What a run works on.
pub(super) struct Run<'a> {
    pub(super) hub: &'a Hub,
    pub(super) ctx: &'a RequestContext,
    pub(super) progress: &'a Progress,
    /// Replaced while the run goes on, when the request changes its path.
    pub(super) route: &'a RefCell<StreamRoute>,
}

impl Run<'_> {
    /// Makes the run. Dropping the future ends it at the backend server; what
    /// was passed on to the caller stays whole.
    ///
    /// # Errors
    ///
    /// Fails when the caller's connection does.
    pub(super) async fn finish(&self, conn: &mut ServerConn) -> io::Result<RunEnd> {
        let last_event = self.progress.last_event();
        let opened = tokio::select! {
            opened = open(self.hub, self.ctx, self.route, last_event) => opened,
            () = conn.left() => return Ok(RunEnd::CallerLeft),
            () = sleep_until(self.ctx.deadline) => return Ok(RunEnd::OutOfTime),
        };
        match opened {
            Opened::Stream(answer, mut exchange) => {
                self.start(conn, &answer)?;
                self.relay(conn, &mut exchange).await
            }
            Opened::Failed(whole) => Ok(RunEnd::Failed(whole)),
            Opened::NotSent => Ok(RunEnd::NotSent),
            Opened::NotRun(at_fault) => Ok(RunEnd::NotRun(at_fault)),
            Opened::Lost(reason) => Ok(RunEnd::Lost(reason)),
        }
    }

    fn start(&self, conn: &mut ServerConn, answer: &BackendResponse) -> io::Result<()> {
        if self.progress.start() {
            return Ok(());
        }
        let mut res = relayed_response(&answer.head);
        if self.hub.drain.is_draining() {
            res.head_mut().set_connection_type(ConnectionType::Close);
        }
        conn.start_stream(res)
    }

    /// Passes events on as they come, each one whole.
    async fn relay(&self, conn: &mut ServerConn, exchange: &mut Exchange) -> io::Result<RunEnd> {
        let mut splitter = EventSplitter::default();
        loop {
            let chunk = tokio::select! {
                biased;
                chunk = exchange.read_chunk() => chunk,
                () = conn.left() => return Ok(RunEnd::CallerLeft),
                () = sleep_until(self.ctx.deadline) => return Ok(RunEnd::OutOfTime),
            };
            let bytes = match chunk {
                Ok(Some(bytes)) => bytes,
                Ok(None) if splitter.pending() == 0 => return Ok(RunEnd::Complete),
                Ok(None) => return Ok(RunEnd::Lost("event-cut-off")),
                Err(_) => return Ok(RunEnd::Lost("stream-broke-off")),
            };
            splitter.push(&bytes);
            while let Some(event) = splitter.next_event() {
                if !self.progress.is_next(&event) {
                    return Ok(RunEnd::Lost("event-out-of-order"));
                }
                self.progress.note(&event);
                self.note_alive();
                conn.send_chunk(event.bytes).await?;
            }
        }
    }

    fn note_alive(&self) {
        let now = self.hub.now();
        let mut fleet = self.hub.fleet.borrow_mut();
        for id in self.route.borrow().backends() {
            if let Some(member) = fleet.get_mut(id) {
                member.record_activity(now);
            }
        }
    }
}
