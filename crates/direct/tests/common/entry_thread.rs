//! An entry on a thread of its own, which can be paused and whose sockets are closed as
//! by the exit of a process.

use std::net::SocketAddr;
use std::sync::mpsc::{self, TryRecvError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use actix_rt::System;
use clementine_direct::start;
use clementine_platform::settings::InstanceSettings;
use tokio::time::sleep;

use super::{send_request, wait_until};

/// An entry on a thread of its own.
pub struct EntryThread {
    pub callers: SocketAddr,
    commands: mpsc::Sender<Command>,
    thread: JoinHandle<()>,
}

enum Command {
    Pause(Duration),
    Stop,
}

impl EntryThread {
    /// Starts an entry and waits until it is ready.
    pub async fn start(settings: InstanceSettings) -> Self {
        let (tx, started) = mpsc::channel();
        let (commands, received) = mpsc::channel();
        let thread = thread::spawn(move || {
            System::new().block_on(async move {
                let running = start(settings).expect("entry starts");
                tx.send((running.callers, running.readiness)).expect("the test waits");
                loop {
                    match received.try_recv() {
                        // Nothing runs meanwhile, as in a process that is suspended.
                        Ok(Command::Pause(time)) => thread::sleep(time),
                        Ok(Command::Stop) | Err(TryRecvError::Disconnected) => break,
                        Err(TryRecvError::Empty) => sleep(Duration::from_millis(5)).await,
                    }
                }
                running.stop();
                running.stopped().await;
            });
        });
        let (callers, readiness) = started.recv().expect("the entry starts");
        wait_until("the entry is ready", async || {
            send_request(readiness, "GET", "/-/readiness", "").await.status == 200
        })
        .await;
        Self { callers, commands, thread }
    }

    /// Pauses the entry within a few milliseconds.
    pub fn pause(&self, time: Duration) {
        self.commands.send(Command::Pause(time)).expect("the entry runs");
    }

    /// Starts the shutdown.
    pub fn stop(&self) {
        self.commands.send(Command::Stop).expect("the entry runs");
    }

    /// Whether the entry has stopped and closed its sockets.
    pub fn has_exited(&self) -> bool {
        self.thread.is_finished()
    }
}
