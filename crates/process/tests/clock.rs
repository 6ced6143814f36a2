//! The clock of the decision logic, and pauses of the process, by the paused time of the
//! runtime.

use std::time::Duration;

use clementine_decide::ids::Tick;
use clementine_objects::Millis;
use clementine_process::clock::{Clock, PauseWatch};
use tokio::time::{advance, pause};

/// Guards against ticks that tests cannot pause and advance.
#[tokio::test]
async fn ticks_follow_the_time_of_the_runtime() {
    pause();
    let clock = Clock::start();
    assert_eq!(clock.now(), Tick::START);
    advance(Duration::from_millis(2_500)).await;
    assert_eq!(clock.now(), Tick::START.after(Millis(2_500)));
}

/// Guards against counting ordinary delays as pauses, and a pause for longer than
/// messages from it are read.
#[tokio::test]
async fn only_messages_read_right_after_a_pause_may_have_waited() {
    pause();
    let watch = PauseWatch::new(Clock::start());
    let steps = [(60, 0), (140, 0), (2_000, 2_000), (50, 2_000), (40, 2_000), (20, 0)];
    for (step, wait) in steps {
        advance(Duration::from_millis(step)).await;
        assert_eq!(watch.max_wait(), Millis(wait), "after a step of {step} ms");
    }
}
