//! One run of the soak test with its store, engines, backend servers and entries.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use clementine_http1::{ClientConn, ServerConn};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::callers::{
    BAD_PART, CRASHING, RequestKind, run_bad_part_caller, run_caller, run_crashing_caller,
    send_request,
};
use crate::checks::Checks;
use crate::common::{Backend, EntryProcess, Store, config, wait_until};
use crate::faults::{
    break_streams, fault_interval, inject_fault, refuse_control_calls, restart_crashed_servers,
    silence_store,
};

/// Number of layers of the model.
pub const LAYERS: u32 = 12;
/// Number of concurrent callers.
const CALLERS: u64 = 12;
/// Time limit, after the last fault, for an entry to serve a kind of request again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// One run of the soak test.
pub struct Soak {
    pub seed: u64,
    pub store: Store,
    pub engines: Vec<Backend>,
    pub plain_servers: Vec<Backend>,
    pub entries: Vec<Rc<EntryProcess>>,
    pub config_version: Cell<u64>,
    pub checks: Checks,
    /// Tells callers to stop.
    pub stop_callers: Cell<bool>,
    /// Tells the tasks that silence the store and refuse calls to stop.
    pub stop_outages: Cell<bool>,
}

impl Soak {
    /// Starts all components and waits until the engines host the model.
    pub async fn start(seed: u64) -> Self {
        let store = Store::start().await;
        store.put("op", "config", &config(1, LAYERS));
        let mut engines = Vec::new();
        for n in 0..9 {
            engines.push(Backend::start(&format!("engine-{n}"), "model", &store).await);
        }
        let mut plain_servers = Vec::new();
        for n in 0..3 {
            plain_servers.push(Backend::start(&format!("plain-{n}"), "plain", &store).await);
        }
        let mut entries = Vec::new();
        for (name, domain) in [("one", "a"), ("two", "a"), ("three", "b")] {
            entries.push(Rc::new(EntryProcess::start(name, domain, seed, &store).await));
        }
        wait_until("all engines host layers", async || engines.iter().all(Backend::holds_layers))
            .await;
        for server in engines.iter().chain(&plain_servers) {
            server.crashes_on.set(Some(CRASHING));
            server.crashes_on_part.set(Some(BAD_PART));
        }
        Self {
            seed,
            store,
            engines,
            plain_servers,
            entries,
            config_version: Cell::new(1),
            checks: Checks::default(),
            stop_callers: Cell::new(false),
            stop_outages: Cell::new(false),
        }
    }

    /// Injects faults for `fault_time` and returns the guarantees that were violated.
    pub async fn run(self, fault_time: Duration) -> Vec<String> {
        let soak = Rc::new(self);
        let mut callers: Vec<_> =
            (0..CALLERS).map(|number| spawn_local(run_caller(Rc::clone(&soak), number))).collect();
        callers.push(spawn_local(run_crashing_caller(Rc::clone(&soak))));
        callers.push(spawn_local(run_bad_part_caller(Rc::clone(&soak))));
        callers.push(spawn_local(break_streams(Rc::clone(&soak))));
        callers.push(spawn_local(restart_crashed_servers(Rc::clone(&soak))));
        let mut rng = SmallRng::seed_from_u64(soak.seed);
        let mut active_faults = vec![
            spawn_local(silence_store(Rc::clone(&soak))),
            spawn_local(refuse_control_calls(Rc::clone(&soak))),
        ];
        let end = Instant::now() + fault_time;
        while Instant::now() < end {
            active_faults.push(inject_fault(&soak, &mut rng));
            sleep(fault_interval(&mut rng)).await;
            soak.check_unexpected_exits();
        }
        soak.stop_outages.set(true);
        for fault in active_faults {
            fault.await.expect("fault task ends without panic");
        }
        soak.check_recovery().await;
        soak.stop_callers.set(true);
        for caller in callers {
            caller.await.expect("caller task ends without panic");
        }
        println!("seed {}: {}", soak.seed, soak.checks.summary());
        let backends: Vec<Backend> =
            soak.engines.iter().chain(&soak.plain_servers).cloned().collect();
        soak.checks.finish(&backends)
    }

    /// Checks that no process has exited without SIGTERM.
    fn check_unexpected_exits(&self) {
        for entry in &self.entries {
            if entry.has_exited() && !entry.was_terminated() {
                self.checks.record_violation("an entry exited unexpectedly".into());
            }
        }
    }

    /// Checks that each entry serves each kind of request again after the faults.
    async fn check_recovery(&self) {
        for entry in &self.entries {
            for kind in RequestKind::ALL {
                if timeout(RECOVERY_TIMEOUT, self.wait_until_served(entry, kind)).await.is_err() {
                    self.checks.record_violation(format!(
                        "no {kind:?} request is served after the faults"
                    ));
                }
            }
        }
    }

    async fn wait_until_served(&self, entry: &EntryProcess, kind: RequestKind) {
        for attempt in 0_u64.. {
            let id = format!("after-{:?}-{kind:?}-{attempt}", entry.callers_address());
            self.checks.record_sent(kind, &id);
            let connected = match entry.callers_address() {
                Some(at) => {
                    ClientConn::connect(at, Duration::from_secs(1), &ServerConn::codec_config())
                        .await
                        .ok()
                }
                None => None,
            };
            if let Some(mut conn) = connected {
                let response = send_request(&mut conn, kind, &id).await;
                self.checks.check_response(kind, &id, &response);
                if response.status == 200 && response.complete {
                    return;
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
}
