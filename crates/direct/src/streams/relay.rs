//! Passes the events of one run on to the caller.

use std::io;
use std::time::Duration;

use clementine_decide::events::{Event, EventSplitter};
use clementine_http1::{Exchange, ServerConn};
use tokio::time::{Instant, sleep_until};

/// How the events of one run ended.
#[derive(Debug)]
pub(super) enum Relayed {
    /// The stream is complete.
    Complete,
    /// The backend server broke the stream off, or sent events out of order.
    Broken(&'static str),
    /// Nothing came for too long.
    Silent,
    /// The caller has left.
    CallerLeft,
    /// The caller stops waiting now.
    OutOfTime,
}

/// Events that the caller has.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Id of the last event, at first the one that the caller came with.
    pub(super) last_event: Option<u64>,
    /// Events passed on.
    pub(super) events: u64,
    /// When the first event was passed on.
    pub(super) first_at: Option<Instant>,
    /// When the last event was passed on.
    pub(super) last_at: Option<Instant>,
    /// Longest pause between two events.
    pub(super) longest_pause: Duration,
}

impl Progress {
    fn note(&mut self, event: &Event) {
        let now = Instant::now();
        if let Some(last) = self.last_at {
            self.longest_pause = self.longest_pause.max(now - last);
        }
        self.first_at.get_or_insert(now);
        self.last_at = Some(now);
        self.events += 1;
        self.last_event = event.id.or(self.last_event);
    }

    /// Whether an event goes on where the last one ended.
    fn is_next(&self, event: &Event) -> bool {
        match (self.last_event, event.id) {
            (Some(last), Some(id)) => id == last + 1,
            _ => true,
        }
    }
}

/// Longest waits for events.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waits {
    /// For the first event of the run.
    pub(super) first: Duration,
    /// Between two events.
    pub(super) between: Duration,
    /// When the caller stops waiting.
    pub(super) until: Instant,
}

/// Passes events on as they come, each one whole.
///
/// # Errors
///
/// Fails when the caller's connection does.
pub(super) async fn relay(
    conn: &mut ServerConn,
    exchange: &mut Exchange,
    progress: &mut Progress,
    waits: Waits,
    mut on_event: impl FnMut(),
) -> io::Result<Relayed> {
    let mut splitter = EventSplitter::default();
    let mut silent_at = Instant::now() + waits.first;
    loop {
        let chunk = tokio::select! {
            biased;
            chunk = exchange.read_chunk() => chunk,
            () = conn.left() => return Ok(Relayed::CallerLeft),
            () = sleep_until(silent_at.min(waits.until)) => {
                let late = Instant::now() >= waits.until;
                return Ok(if late { Relayed::OutOfTime } else { Relayed::Silent });
            }
        };
        let bytes = match chunk {
            Ok(Some(bytes)) => bytes,
            Ok(None) if splitter.pending() == 0 => return Ok(Relayed::Complete),
            Ok(None) => return Ok(Relayed::Broken("event-cut-off")),
            Err(_) => return Ok(Relayed::Broken("stream-broke-off")),
        };
        splitter.push(&bytes);
        while let Some(event) = splitter.next_event() {
            if !progress.is_next(&event) {
                return Ok(Relayed::Broken("event-out-of-order"));
            }
            progress.note(&event);
            silent_at = Instant::now() + waits.between;
            on_event();
            conn.send_chunk(event.bytes).await?;
        }
    }
}
