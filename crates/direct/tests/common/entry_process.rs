//! Entries as processes, each connected to the store through a proxy.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::{env, fs, process};

use clementine_e2e::{Process, Proxy};

use super::Store;

/// Memory that the settings grant, in MB.
const MEMORY_MB: u32 = 256;

/// Entry whose process may be stopped and restarted.
pub struct EntryProcess {
    name: String,
    domain: &'static str,
    settings_path: PathBuf,
    /// Memory that the settings grant, in MB.
    memory_mb: u32,
    /// Proxy of its connections to the store.
    pub store_proxy: Proxy,
    process: RefCell<Option<Process>>,
    /// Address for callers while the process runs.
    callers_address: Cell<Option<SocketAddr>>,
    /// Number of times that the settings file was written.
    settings_changes: Cell<u32>,
    /// Whether SIGTERM was sent to the current process.
    was_terminated: Cell<bool>,
    /// Number of times that the process was started.
    process_starts: Cell<u32>,
}

impl EntryProcess {
    pub async fn start(name: &str, domain: &'static str, seed: u64, store: &Store) -> Self {
        Self::start_with_memory(name, domain, seed, store, MEMORY_MB).await
    }

    /// Like [`Self::start`], with `memory_mb` MB of memory.
    pub async fn start_with_memory(
        name: &str,
        domain: &'static str,
        seed: u64,
        store: &Store,
        memory_mb: u32,
    ) -> Self {
        let file = format!("clementine-soak-{}-{seed}-{name}.conf", process::id());
        let entry = Self {
            name: name.into(),
            domain,
            settings_path: env::temp_dir().join(file),
            memory_mb,
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

    /// Starts the process unless it is running.
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

    /// Number of times that the process was started.
    pub fn process_starts(&self) -> u32 {
        self.process_starts.get()
    }

    /// Address for callers while the process runs.
    pub fn callers_address(&self) -> Option<SocketAddr> {
        self.callers_address.get()
    }

    /// Calls `f` with the process if there is one.
    pub fn with_process(&self, f: impl FnOnce(&Process)) {
        if let Some(process) = self.process.borrow().as_ref() {
            f(process);
        }
    }

    /// Starts a graceful shutdown of the process.
    pub fn terminate(&self) {
        self.was_terminated.set(true);
        self.with_process(Process::terminate);
    }

    /// Whether SIGTERM was sent to the current process.
    pub fn was_terminated(&self) -> bool {
        self.was_terminated.get()
    }

    pub fn kill(&self) {
        self.callers_address.set(None);
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
    }

    /// Whether the process has exited other than by [`Self::kill`].
    pub fn has_exited(&self) -> bool {
        self.process.borrow_mut().as_mut().is_some_and(Process::has_exited)
    }

    /// Writes the settings file with a retry budget that differs from the last one.
    pub fn change_settings(&self) {
        self.settings_changes.set(self.settings_changes.get() + 1);
        let slack = 100 + self.settings_changes.get();
        let text = format!(
            "node={}\nip=127.0.0.1\nzone={}\nlisten.front=127.0.0.1:0\nlisten.ready=127.0.0.1:0\n\
             internal-ports=0,0\nlimits.link-mbps=1000\nlimits.memory-mb={}\n\
             bounds.grace-s=8\n\
             bounds.retry-budget-ratio=0.2\nbounds.retry-budget-slack={slack}\n\
             bounds.budget-window-s=10\nplatform.address={}\n",
            self.name,
            self.domain,
            self.memory_mb,
            self.store_proxy.address()
        );
        fs::write(&self.settings_path, text).expect("write settings file");
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // Best effort: a leftover file in the temporary directory is harmless.
        let _ = fs::remove_file(&self.settings_path);
    }
}
