//! Entries as processes, each behind a relay to the store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::{env, fs, process};

use clementine_e2e::{Process, Proxy};

use crate::common::Store;

/// An entry, which may be down for a while.
pub struct Entry {
    name: String,
    settings_path: PathBuf,
    /// Relay of its connections to the store.
    pub store_proxy: Proxy,
    process: RefCell<Option<Process>>,
    /// Where callers connect, while it runs.
    callers_address: Cell<Option<SocketAddr>>,
    /// Changes of the settings so far.
    settings_changes: Cell<u32>,
    was_terminated: Cell<bool>,
    /// Starts of the process.
    process_starts: Cell<u32>,
}

impl Entry {
    pub async fn start(name: &str, seed: u64, store: &Store) -> Self {
        let file = format!("clementine-soak-{}-{seed}-{name}.conf", process::id());
        let entry = Self {
            name: name.into(),
            settings_path: env::temp_dir().join(file),
            store_proxy: Proxy::start(store.address).await,
            process: RefCell::default(),
            callers_address: Cell::default(),
            settings_changes: Cell::default(),
            was_terminated: Cell::default(),
            process_starts: Cell::default(),
        };
        entry.change_settings();
        entry.start_process();
        entry
    }

    /// Starts the process, unless it runs.
    pub fn start_process(&self) {
        if self.process.borrow().is_some() {
            return;
        }
        let variable = ("CLEMENTINEHUB_CONFIG", self.settings_path.as_os_str());
        let process = Process::start_with_env("clementine-entry", &["direct".into()], &[variable]);
        self.callers_address.set(Some(process.wait_for_address("callers=")));
        self.was_terminated.set(false);
        self.process_starts.set(self.process_starts.get() + 1);
        self.process.replace(Some(process));
    }

    /// Starts of the process so far.
    pub fn process_starts(&self) -> u32 {
        self.process_starts.get()
    }

    /// Where callers connect, while it runs.
    pub fn callers_address(&self) -> Option<SocketAddr> {
        self.callers_address.get()
    }

    /// Does something to the process, if it runs.
    pub fn with_process(&self, f: impl FnOnce(&Process)) {
        if let Some(process) = self.process.borrow().as_ref() {
            f(process);
        }
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        self.was_terminated.set(true);
        self.with_process(Process::terminate);
    }

    /// Whether the process was asked to stop.
    pub fn was_terminated(&self) -> bool {
        self.was_terminated.get()
    }

    pub fn kill(&self) {
        self.callers_address.set(None);
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
    }

    /// Whether the process has ended; a process that was killed is none.
    pub fn has_exited(&self) -> bool {
        self.process.borrow_mut().as_mut().is_some_and(Process::has_exited)
    }

    /// Writes the settings file with other bounds than before.
    pub fn change_settings(&self) {
        self.settings_changes.set(self.settings_changes.get() + 1);
        let slack = 100 + self.settings_changes.get();
        let text = format!(
            "node={}\nip=127.0.0.1\nzone=a\nlisten.front=127.0.0.1:0\nlisten.ready=127.0.0.1:0\n\
             internal-ports=0,0\nlimits.link-mbps=1000\nbounds.grace-s=8\n\
             bounds.retry-budget-ratio=0.2\nbounds.retry-budget-slack={slack}\n\
             bounds.budget-window-s=10\nplatform.address={}\n",
            self.name,
            self.store_proxy.address()
        );
        fs::write(&self.settings_path, text).expect("written");
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // A file that is left behind harms nothing.
        let _ = fs::remove_file(&self.settings_path);
    }
}
