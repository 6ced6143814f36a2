//! One attempt at a stream: sends the request to a backend server and relays its
//! events to the caller.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::ConnectionType;
use clementine_decide::events::{Event, EventSplitter};
use clementine_http1::{ClientConn, ServerConn};
use clementine_platform::requests::{BackendResponse, relayed_response};
use tokio::time::{sleep_until, timeout_at};

use super::open::{OpenOutcome, open};
use super::progress::Progress;
use super::route::StreamRoute;
use crate::buffered::BufferedResponse;
use crate::crashes::record_response_begun;
use crate::shared::{RequestContext, SharedState};

/// Outcome of an attempt.
pub(super) enum AttemptOutcome {
    /// The stream is complete.
    Complete,
    /// The caller disconnected.
    CallerLeft,
    /// The deadline passed.
    DeadlinePassed,
    /// The backend server responded with an error.
    ErrorResponse(BufferedResponse),
    /// The request was not sent.
    NotSent,
    /// The request was not executed. Contains the address of the engine that
    /// failed, if the response names it.
    NotExecuted(Option<SocketAddr>),
    /// The response is missing or unusable, or the stream was interrupted or
    /// invalid. Contains the reason for the log.
    Interrupted(&'static str),
}

/// One attempt at a stream.
pub(super) struct Attempt<'a> {
    pub(super) shared: &'a Rc<SharedState>,
    pub(super) ctx: &'a RequestContext,
    pub(super) progress: &'a Progress,
    /// Replaced during the attempt if the request moves to another path.
    pub(super) route: &'a RefCell<StreamRoute>,
}

impl Attempt<'_> {
    /// Makes the attempt. Dropping the future ends the run on the backend server;
    /// the events that the caller has received are still complete.
    ///
    /// # Errors
    ///
    /// Returns an error if writing to the caller's connection fails.
    pub(super) async fn run(&self, conn: &mut ServerConn) -> io::Result<AttemptOutcome> {
        let opened = tokio::select! {
            opened = open(self.shared, self.ctx, self.route, self.progress) => opened,
            () = conn.wait_closed() => return Ok(AttemptOutcome::CallerLeft),
            () = sleep_until(self.ctx.deadline) => return Ok(AttemptOutcome::DeadlinePassed),
        };
        match opened {
            OpenOutcome::Stream(response, mut backend_conn) => {
                self.progress.set_begun();
                self.send_headers(conn, &response)?;
                self.relay_events(conn, &mut backend_conn).await
            }
            OpenOutcome::ErrorResponse(error) => Ok(AttemptOutcome::ErrorResponse(error)),
            OpenOutcome::NotSent => Ok(AttemptOutcome::NotSent),
            OpenOutcome::NotExecuted(failed) => Ok(AttemptOutcome::NotExecuted(failed)),
            OpenOutcome::ResponseLost(reason) => Ok(AttemptOutcome::Interrupted(reason)),
        }
    }

    /// Sends the response headers, unless an earlier attempt has.
    fn send_headers(&self, conn: &mut ServerConn, response: &BackendResponse) -> io::Result<()> {
        if self.progress.set_headers_sent() {
            return Ok(());
        }
        let mut res = relayed_response(&response.head);
        if self.shared.drain.is_draining() {
            res.head_mut().set_connection_type(ConnectionType::Close);
        }
        conn.start_stream(res)
    }

    /// Relays each event as soon as it is complete.
    async fn relay_events(
        &self,
        conn: &mut ServerConn,
        backend_conn: &mut ClientConn,
    ) -> io::Result<AttemptOutcome> {
        let mut splitter = EventSplitter::default();
        loop {
            let chunk = tokio::select! {
                biased;
                chunk = backend_conn.read_chunk() => chunk,
                () = conn.wait_closed() => return Ok(AttemptOutcome::CallerLeft),
                () = sleep_until(self.ctx.deadline) => return Ok(AttemptOutcome::DeadlinePassed),
            };
            let bytes = match chunk {
                Ok(Some(bytes)) => bytes,
                Ok(None) if self.ended_without_events(backend_conn) => {
                    return Ok(AttemptOutcome::Interrupted("no-events"));
                }
                Ok(None) if splitter.pending() == 0 => return Ok(AttemptOutcome::Complete),
                Ok(None) => return Ok(AttemptOutcome::Interrupted("event-cut-off")),
                Err(_) => return Ok(AttemptOutcome::Interrupted("stream-broke-off")),
            };
            splitter.push(&bytes);
            loop {
                let event = match splitter.next_event() {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(_) => return Ok(AttemptOutcome::Interrupted("event-too-large")),
                };
                if !self.progress.is_next(&event) {
                    return Ok(AttemptOutcome::Interrupted("event-out-of-order"));
                }
                // Comments come from stalled runs as well.
                if event.has_content() {
                    if !self.progress.attempt_has_events() {
                        record_response_begun(self.shared, self.ctx);
                        let since_start = self.progress.last_activity().elapsed();
                        self.shared.record_first_response(&self.ctx.pool, since_start);
                    }
                    self.progress.record_event(&event);
                    self.record_backend_activity();
                    self.route.borrow().record_event();
                }
                if !self.deliver(conn, event).await? {
                    return Ok(AttemptOutcome::DeadlinePassed);
                }
            }
        }
    }

    /// Writes an event to the caller. Returns `false` if the deadline passes before the
    /// caller has taken it.
    async fn deliver(&self, conn: &mut ServerConn, event: Event) -> io::Result<bool> {
        let counts = event.has_content();
        if counts {
            self.progress.set_delivering(true);
        }
        let sent = timeout_at(self.ctx.deadline, conn.send_chunk(event.bytes)).await;
        if counts {
            self.progress.set_delivering(false);
        }
        sent.map_or(Ok(false), |sent| sent.map(|()| true))
    }

    /// Whether a stream has ended with its connection before any event. It cannot be
    /// told from one that was broken off, unless the caller has all events already.
    fn ended_without_events(&self, backend_conn: &ClientConn) -> bool {
        backend_conn.is_close_delimited()
            && !self.progress.attempt_has_events()
            && self.progress.last_event_id().is_none()
    }

    /// Records an event as proof that all backend servers of the route are alive.
    fn record_backend_activity(&self) {
        let now = self.shared.now();
        let mut ended_backoff = false;
        let mut fleet = self.shared.fleet.borrow_mut();
        for id in self.route.borrow().backends() {
            if let Some(member) = fleet.get_mut(id) {
                ended_backoff |= member.record_activity(now);
            }
        }
        drop(fleet);
        if ended_backoff {
            self.shared.place_freed(&self.ctx.pool);
        }
    }
}
