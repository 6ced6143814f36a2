//! Faults, drawn by a seed and ended some time later.

use std::rc::Rc;
use std::time::Duration;

use clementine_e2e::{Process, ProxyMode};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use crate::entries::Entry;
use crate::fleet::Soak;
use crate::world::{Backend, Behaviour, config};

/// Time that a process may take to end after SIGTERM: the grace time, and what
/// a busy machine adds.
const ENDS_WITHIN: Duration = Duration::from_secs(12);

/// Strikes once; the task ends with the fault.
pub fn strike(soak: &Rc<Soak>, rng: &mut SmallRng) -> JoinHandle<()> {
    let soak = Rc::clone(soak);
    let lasts = Duration::from_millis(rng.random_range(100..1_600));
    let entry = Rc::clone(soak.entries.choose(rng).expect("entries"));
    let engine = soak.engines.choose(rng).expect("engines").clone();
    let plain = soak.plain.choose(rng).expect("servers").clone();
    match rng.random_range(0..12) {
        0 => spawn_local(freeze(entry, lasts)),
        1 => spawn_local(stop(soak, entry)),
        2 => spawn_local(kill(entry, lasts)),
        3 => spawn_local(refuse_store(entry, ProxyMode::Close, lasts)),
        4 => spawn_local(refuse_store(entry, ProxyMode::Blackhole, lasts)),
        5 => spawn_local(async move { entry.store.close_open_connections() }),
        6 => spawn_local(async move { entry.store.blackhole_open_connections() }),
        7 => spawn_local(async move { change_settings(&entry) }),
        8 => spawn_local(async move { change_config(&soak) }),
        9 => spawn_local(misbehave(plain, rng.random(), lasts)),
        10 => spawn_local(break_streams(engine, lasts)),
        _ => spawn_local(leave(engine, lasts)),
    }
}

async fn freeze(entry: Rc<Entry>, lasts: Duration) {
    entry.with(Process::pause);
    sleep(lasts).await;
    entry.with(Process::resume);
}

/// Asks a process to stop, waits for its end and starts it again.
async fn stop(soak: Rc<Soak>, entry: Rc<Entry>) {
    entry.stop();
    let start = entry.starts();
    // Another fault may kill it meanwhile, and start another process.
    let runs = || entry.callers().is_some() && entry.starts() == start;
    let ends = tokio::time::timeout(ENDS_WITHIN, async {
        while runs() && !entry.has_ended() {
            // A frozen process can't end.
            entry.with(Process::resume);
            sleep(Duration::from_millis(50)).await;
        }
    });
    if ends.await.is_err() {
        soak.checks.note("an entry did not end in time after SIGTERM".into());
    }
    if runs() {
        entry.kill();
    }
    entry.run();
}

async fn kill(entry: Rc<Entry>, lasts: Duration) {
    entry.kill();
    sleep(lasts).await;
    entry.run();
}

async fn refuse_store(entry: Rc<Entry>, mode: ProxyMode, lasts: Duration) {
    entry.store.set_mode(mode);
    entry.store.close_open_connections();
    sleep(lasts).await;
    entry.store.set_mode(ProxyMode::Forward);
}

fn change_settings(entry: &Entry) {
    entry.change_settings();
    entry.with(Process::send_sighup);
}

fn change_config(soak: &Soak) {
    let version = soak.config_version.get() + 1;
    soak.config_version.set(version);
    soak.store.put("op", "config", &config(version, crate::fleet::LAYERS));
}

async fn misbehave(plain: Backend, which: u8, lasts: Duration) {
    let all =
        [Behaviour::Refuse, Behaviour::Fail, Behaviour::RunAndClose, Behaviour::ServeUnframed];
    plain.behaviour.set(all[usize::from(which) % all.len()]);
    sleep(lasts).await;
    plain.behaviour.set(Behaviour::Serve);
}

async fn break_streams(engine: Backend, lasts: Duration) {
    engine.break_after.set(Some(4));
    sleep(lasts).await;
    engine.break_after.set(None);
}

async fn leave(engine: Backend, lasts: Duration) {
    engine.leaving.set(true);
    sleep(lasts).await;
    engine.leaving.set(false);
}

/// Pause until the next fault; some come in quick succession.
pub fn pause(rng: &mut impl Rng) -> Duration {
    let longest = if rng.random_bool(0.3) { 60 } else { 600 };
    Duration::from_millis(rng.random_range(0..longest))
}
