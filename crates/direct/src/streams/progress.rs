//! What the caller has of a stream.

use std::cell::Cell;
use std::time::Duration;

use clementine_decide::events::Event;
use tokio::time::Instant;

/// Pause between events that is assumed before any has been seen.
const FIRST_USUAL_PAUSE: Duration = Duration::from_millis(80);
/// Weight of the newest pause in the mean.
const PAUSE_WEIGHT: f64 = 0.2;

/// What the caller has of a stream. Shared by the run that passes events on
/// and the supervisor that watches it.
#[derive(Debug)]
pub(super) struct Progress {
    /// Whether the caller has the headers of the answer.
    started: Cell<bool>,
    /// Id of the last event, at first the one that the caller came with.
    last_event: Cell<Option<u64>>,
    events: Cell<u64>,
    first_at: Cell<Option<Instant>>,
    /// When the last event was passed on, or the present run began.
    last_at: Cell<Instant>,
    longest_pause: Cell<Duration>,
    /// Mean pause between events, the newest weighing most.
    usual_pause: Cell<Duration>,
    /// Whether the present run has brought an event.
    run_has_events: Cell<bool>,
}

impl Progress {
    pub(super) fn new(last_event: Option<u64>) -> Self {
        Self {
            started: Cell::new(false),
            last_event: Cell::new(last_event),
            events: Cell::new(0),
            first_at: Cell::new(None),
            last_at: Cell::new(Instant::now()),
            longest_pause: Cell::new(Duration::ZERO),
            usual_pause: Cell::new(FIRST_USUAL_PAUSE),
            run_has_events: Cell::new(false),
        }
    }

    /// Notes that another run begins.
    pub(super) fn begin_run(&self) {
        self.run_has_events.set(false);
        self.last_at.set(Instant::now());
    }

    /// Notes that the caller gets the headers; tells whether it had them.
    pub(super) fn start(&self) -> bool {
        self.started.replace(true)
    }

    /// Notes an event that is passed on.
    pub(super) fn note(&self, event: &Event) {
        let now = Instant::now();
        if self.events.get() > 0 {
            let pause = now - self.last_at.get();
            self.longest_pause.set(self.longest_pause.get().max(pause));
            let usual = self.usual_pause.get();
            self.usual_pause.set(usual.mul_f64(1.0 - PAUSE_WEIGHT) + pause.mul_f64(PAUSE_WEIGHT));
        } else {
            self.first_at.set(Some(now));
        }
        self.last_at.set(now);
        self.run_has_events.set(true);
        self.events.set(self.events.get() + 1);
        self.last_event.set(event.id.or(self.last_event.get()));
    }

    /// Whether an event goes on where the last one ended.
    pub(super) fn is_next(&self, event: &Event) -> bool {
        match (self.last_event.get(), event.id) {
            (Some(last), Some(id)) => id == last + 1,
            _ => true,
        }
    }

    pub(super) fn has_started(&self) -> bool {
        self.started.get()
    }

    pub(super) fn run_has_events(&self) -> bool {
        self.run_has_events.get()
    }

    pub(super) fn last_event(&self) -> Option<u64> {
        self.last_event.get()
    }

    pub(super) fn events(&self) -> u64 {
        self.events.get()
    }

    pub(super) fn last_at(&self) -> Instant {
        self.last_at.get()
    }

    pub(super) fn first_at(&self) -> Option<Instant> {
        self.first_at.get()
    }

    pub(super) fn usual_pause(&self) -> Duration {
        self.usual_pause.get()
    }

    pub(super) fn longest_pause(&self) -> Duration {
        self.longest_pause.get()
    }
}
