//! A store, engines, backend servers and entries, and one run of the soak.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use clementine_http1::{ClientConn, ServerConn};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::callers::{Kind, ask, call};
use crate::checks::Checks;
use crate::entries::Entry;
use crate::faults::{pause, strike};
use crate::world::{Backend, Store, config, until};

/// Layers of the model.
pub const LAYERS: u32 = 12;
/// Callers at a time.
const CALLERS: u64 = 12;
/// Time after the last fault within which every entry serves every kind of
/// request again.
const RECOVERS_WITHIN: Duration = Duration::from_secs(15);

/// One run of the soak.
pub struct Soak {
    pub seed: u64,
    pub store: Store,
    pub engines: Vec<Backend>,
    pub plain: Vec<Backend>,
    pub entries: Vec<Rc<Entry>>,
    pub config_version: Cell<u64>,
    pub checks: Checks,
    /// Whether callers are to stop.
    pub over: Cell<bool>,
}

impl Soak {
    /// Starts all parts and waits until the model is placed.
    pub async fn start(seed: u64) -> Self {
        let store = Store::start().await;
        store.put("op", "config", &config(1, LAYERS));
        let mut engines = Vec::new();
        for n in 0..9 {
            engines.push(Backend::start(&format!("engine-{n}"), "model", &store).await);
        }
        let mut plain = Vec::new();
        for n in 0..3 {
            plain.push(Backend::start(&format!("plain-{n}"), "plain", &store).await);
        }
        let mut entries = Vec::new();
        for name in ["one", "two", "three"] {
            entries.push(Rc::new(Entry::start(name, seed, &store).await));
        }
        until("all engines hold layers", async || engines.iter().all(Backend::holds_layers)).await;
        Self {
            seed,
            store,
            engines,
            plain,
            entries,
            config_version: Cell::new(1),
            checks: Checks::default(),
            over: Cell::new(false),
        }
    }

    /// Plays faults for some time; gives the promises that were broken.
    pub async fn play(self, faults: Duration) -> Vec<String> {
        let soak = Rc::new(self);
        let callers: Vec<_> =
            (0..CALLERS).map(|number| spawn_local(call(Rc::clone(&soak), number))).collect();
        let mut rng = SmallRng::seed_from_u64(soak.seed);
        let mut under_way = Vec::new();
        let end = Instant::now() + faults;
        while Instant::now() < end {
            under_way.push(strike(&soak, &mut rng));
            sleep(pause(&mut rng)).await;
            soak.check_entries();
        }
        for fault in under_way {
            fault.await.expect("a fault ends");
        }
        soak.check_recovery().await;
        soak.over.set(true);
        for caller in callers {
            caller.await.expect("a caller ends");
        }
        println!("seed {}: {}", soak.seed, soak.checks.summary());
        let backends: Vec<Backend> = soak.engines.iter().chain(&soak.plain).cloned().collect();
        soak.checks.finish(&backends)
    }

    /// No process ends by itself.
    fn check_entries(&self) {
        for entry in &self.entries {
            if entry.has_ended() && !entry.is_stopping() {
                self.checks.note("an entry has ended by itself".into());
            }
        }
    }

    /// Each entry serves each kind of request again.
    async fn check_recovery(&self) {
        for entry in &self.entries {
            for kind in Kind::ALL {
                if timeout(RECOVERS_WITHIN, self.served(entry, kind)).await.is_err() {
                    self.checks.note(format!("{kind:?} is not served again"));
                }
            }
        }
    }

    async fn served(&self, entry: &Entry, kind: Kind) {
        for attempt in 0_u64.. {
            let id = format!("after-{:?}-{kind:?}-{attempt}", entry.callers());
            self.checks.note_asked(kind, &id);
            let connected = match entry.callers() {
                Some(at) => {
                    ClientConn::connect(at, Duration::from_secs(1), &ServerConn::codec_config())
                        .await
                        .ok()
                }
                None => None,
            };
            if let Some(mut exchange) = connected {
                let got = ask(&mut exchange, kind, &id).await;
                self.checks.note_got(kind, &id, &got);
                if got.status == 200 && got.whole {
                    return;
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
}
