//! Entries as processes, each behind a relay to the store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::{env, fs, process};

use clementine_e2e::{Process, Proxy};

use crate::world::Store;

/// An entry, which may be down for a while.
pub struct Entry {
    name: String,
    settings: PathBuf,
    /// Relay of its connections to the store.
    pub store: Proxy,
    process: RefCell<Option<Process>>,
    /// Where callers connect, while it runs.
    callers: Cell<Option<SocketAddr>>,
    /// Changes of the settings so far.
    changes: Cell<u32>,
    stopping: Cell<bool>,
    /// Starts of the process.
    starts: Cell<u32>,
}

impl Entry {
    pub async fn start(name: &str, seed: u64, store: &Store) -> Self {
        let file = format!("clementine-soak-{}-{seed}-{name}.conf", process::id());
        let entry = Self {
            name: name.into(),
            settings: env::temp_dir().join(file),
            store: Proxy::start(store.address).await,
            process: RefCell::default(),
            callers: Cell::default(),
            changes: Cell::default(),
            stopping: Cell::default(),
            starts: Cell::default(),
        };
        entry.change_settings();
        entry.run();
        entry
    }

    /// Starts the process, unless it runs.
    pub fn run(&self) {
        if self.process.borrow().is_some() {
            return;
        }
        let variable = ("CLEMENTINEHUB_CONFIG", self.settings.as_os_str());
        let process = Process::start_with_env("clementine-entry", &["direct".into()], &[variable]);
        self.callers.set(Some(process.wait_for_address("callers=")));
        self.stopping.set(false);
        self.starts.set(self.starts.get() + 1);
        self.process.replace(Some(process));
    }

    /// Starts of the process so far.
    pub fn starts(&self) -> u32 {
        self.starts.get()
    }

    /// Where callers connect, while it runs.
    pub fn callers(&self) -> Option<SocketAddr> {
        self.callers.get()
    }

    /// Does something to the process, if it runs.
    pub fn with(&self, act: impl FnOnce(&Process)) {
        if let Some(process) = self.process.borrow().as_ref() {
            act(process);
        }
    }

    /// Asks the process to stop.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.with(Process::terminate);
    }

    /// Whether the process was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    pub fn kill(&self) {
        self.callers.set(None);
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
    }

    /// Whether the process has ended; a process that was killed is none.
    pub fn has_ended(&self) -> bool {
        self.process.borrow_mut().as_mut().is_some_and(Process::has_exited)
    }

    /// Writes the settings file with other bounds than before.
    pub fn change_settings(&self) {
        self.changes.set(self.changes.get() + 1);
        let reserve = 100 + self.changes.get();
        let text = format!(
            "node={}\nip=127.0.0.1\nzone=a\nlisten.front=127.0.0.1:0\nlisten.ready=127.0.0.1:0\n\
             internal-ports=0,0\nlimits.link-mbps=1000\nbounds.grace-s=8\n\
             bounds.retry-budget-ratio=0.2\nbounds.retry-budget-slack={reserve}\n\
             bounds.budget-window-s=10\nplatform.address={}\n",
            self.name,
            self.store.address()
        );
        fs::write(&self.settings, text).expect("written");
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // A file that is left behind harms nothing.
        let _ = fs::remove_file(&self.settings);
    }
}
