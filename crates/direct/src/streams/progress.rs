//! Delivery progress of a stream.

use std::cell::Cell;
use std::time::Duration;

use clementine_decide::events::Event;
use tokio::time::Instant;

/// Mean pause between events that is assumed until the first one is measured.
const INITIAL_MEAN_PAUSE: Duration = Duration::from_millis(80);
/// Weight of a new sample in the moving average of the pauses.
const PAUSE_EWMA_WEIGHT: f64 = 0.2;

/// Delivery progress of a stream. Shared by the attempt that relays events and
/// the supervisor that watches the attempt.
#[derive(Debug)]
pub(super) struct Progress {
    /// Whether the response headers have been sent to the caller.
    headers_sent: Cell<bool>,
    /// Id of the last event that the caller received. Initially the id with which
    /// the caller resumes the stream, if any.
    last_event_id: Cell<Option<u64>>,
    events_sent: Cell<u64>,
    first_event_at: Cell<Option<Instant>>,
    /// When the last event was relayed or the current attempt began, whichever is
    /// later.
    last_activity: Cell<Instant>,
    /// Whether an event is being written to the caller. Until it is, the backend server
    /// is not read, and its silence says nothing.
    delivering: Cell<bool>,
    longest_pause: Cell<Duration>,
    /// Exponential moving average of the pauses between events.
    mean_pause: Cell<Duration>,
    /// Whether a byte of the current attempt's request may have left.
    attempt_is_sent: Cell<bool>,
    /// Whether the current attempt has received the head of a response.
    attempt_has_begun: Cell<bool>,
    /// Whether the current attempt has delivered an event.
    attempt_has_events: Cell<bool>,
}

impl Progress {
    pub(super) fn new(last_event_id: Option<u64>) -> Self {
        Self {
            headers_sent: Cell::new(false),
            last_event_id: Cell::new(last_event_id),
            events_sent: Cell::new(0),
            first_event_at: Cell::new(None),
            last_activity: Cell::new(Instant::now()),
            delivering: Cell::new(false),
            longest_pause: Cell::new(Duration::ZERO),
            mean_pause: Cell::new(INITIAL_MEAN_PAUSE),
            attempt_is_sent: Cell::new(false),
            attempt_has_begun: Cell::new(false),
            attempt_has_events: Cell::new(false),
        }
    }

    /// Records the start of another attempt.
    pub(super) fn begin_attempt(&self) {
        self.delivering.set(false);
        self.attempt_is_sent.set(false);
        self.attempt_has_begun.set(false);
        self.attempt_has_events.set(false);
        self.last_activity.set(Instant::now());
    }

    /// Records that the request of the current attempt is about to be sent.
    pub(super) fn set_sent(&self) {
        self.attempt_is_sent.set(true);
    }

    /// Records that the current attempt has received the head of a response.
    pub(super) fn set_begun(&self) {
        self.attempt_has_begun.set(true);
    }

    /// Records that the response headers are sent to the caller. Returns whether
    /// they had been sent before.
    pub(super) fn set_headers_sent(&self) -> bool {
        self.headers_sent.replace(true)
    }

    /// Records an event that is relayed to the caller.
    pub(super) fn record_event(&self, event: &Event) {
        let now = Instant::now();
        if self.events_sent.get() > 0 {
            let pause = now - self.last_activity.get();
            self.longest_pause.set(self.longest_pause.get().max(pause));
            let mean = self.mean_pause.get();
            self.mean_pause
                .set(mean.mul_f64(1.0 - PAUSE_EWMA_WEIGHT) + pause.mul_f64(PAUSE_EWMA_WEIGHT));
        } else {
            self.first_event_at.set(Some(now));
        }
        self.last_activity.set(now);
        self.attempt_has_events.set(true);
        self.events_sent.set(self.events_sent.get() + 1);
        self.last_event_id.set(event.id.or(self.last_event_id.get()));
    }

    /// Records the begin or end of writing an event to the caller.
    pub(super) fn set_delivering(&self, delivering: bool) {
        self.delivering.set(delivering);
        self.last_activity.set(Instant::now());
    }

    /// Whether an event directly follows the last one that was relayed. Events
    /// without an id are assumed to.
    pub(super) fn is_next(&self, event: &Event) -> bool {
        match (self.last_event_id.get(), event.id) {
            (Some(last), Some(id)) => id == last + 1,
            _ => true,
        }
    }

    pub(super) fn headers_sent(&self) -> bool {
        self.headers_sent.get()
    }

    pub(super) fn attempt_is_sent(&self) -> bool {
        self.attempt_is_sent.get()
    }

    pub(super) fn attempt_has_begun(&self) -> bool {
        self.attempt_has_begun.get()
    }

    pub(super) fn attempt_has_events(&self) -> bool {
        self.attempt_has_events.get()
    }

    pub(super) fn last_event_id(&self) -> Option<u64> {
        self.last_event_id.get()
    }

    pub(super) fn events_sent(&self) -> u64 {
        self.events_sent.get()
    }

    /// When the current attempt was last seen to be active. Now while an event is being
    /// written to the caller.
    pub(super) fn last_activity(&self) -> Instant {
        if self.delivering.get() { Instant::now() } else { self.last_activity.get() }
    }

    pub(super) fn first_event_at(&self) -> Option<Instant> {
        self.first_event_at.get()
    }

    pub(super) fn mean_pause(&self) -> Duration {
        self.mean_pause.get()
    }

    pub(super) fn longest_pause(&self) -> Duration {
        self.longest_pause.get()
    }
}
