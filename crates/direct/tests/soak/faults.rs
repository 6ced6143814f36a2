//! Faults, chosen at random from a seed and removed after a random time.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use clementine_e2e::{Process, ProxyMode};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt, SeedableRng};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use crate::common::{Backend, Behaviour, EntryProcess, config};
use crate::harness::Soak;

/// Time limit for a process to exit after SIGTERM: the grace period of 8 s, plus a
/// margin for a busy machine.
const EXIT_TIMEOUT: Duration = Duration::from_secs(12);

/// Injects a random fault. The task ends when the fault has been removed.
pub fn inject_fault(soak: &Rc<Soak>, rng: &mut SmallRng) -> JoinHandle<()> {
    let soak = Rc::clone(soak);
    let duration = Duration::from_millis(rng.random_range(100..1_600));
    let entry = Rc::clone(soak.entries.choose(rng).expect("nonempty list"));
    let engine = soak.engines.choose(rng).expect("nonempty list").clone();
    let plain = soak.plain_servers.choose(rng).expect("nonempty list").clone();
    match rng.random_range(0..17) {
        0 => spawn_local(pause_process(entry, duration)),
        1 => spawn_local(restart_gracefully(soak, entry)),
        2 => spawn_local(kill_and_restart(entry, duration)),
        3 => spawn_local(disrupt_store(entry, ProxyMode::Close, duration)),
        4 => spawn_local(disrupt_store(entry, ProxyMode::Blackhole, duration)),
        5 => spawn_local(async move { entry.store_proxy.close_open_connections() }),
        6 => spawn_local(async move { entry.store_proxy.blackhole_open_connections() }),
        7 => spawn_local(async move { change_settings(&entry) }),
        8 => spawn_local(async move { change_config(&soak) }),
        9 => spawn_local(change_behaviour(plain, rng.random(), duration)),
        10 => spawn_local(disconnect_streams(engine, duration)),
        11 => spawn_local(restore_store(soak, duration)),
        12 => spawn_local(drain(engine, duration)),
        13 => spawn_local(name_limit(plain, engine, duration)),
        14 => spawn_local(name_retry_delay(plain, duration)),
        15 => spawn_local(leave_and_restart(plain, duration)),
        _ => spawn_local(crash_and_restart(engine, duration)),
    }
}

async fn pause_process(entry: Rc<EntryProcess>, duration: Duration) {
    entry.with_process(Process::pause);
    sleep(duration).await;
    entry.with_process(Process::resume);
}

/// Shuts a process down gracefully, waits until it has exited and restarts it.
async fn restart_gracefully(soak: Rc<Soak>, entry: Rc<EntryProcess>) {
    entry.terminate();
    let starts = entry.process_starts();
    // Another fault may kill and restart the process in the meantime.
    let is_same_process = || entry.callers_address().is_some() && entry.process_starts() == starts;
    let exited = tokio::time::timeout(EXIT_TIMEOUT, async {
        while is_same_process() && !entry.has_exited() {
            // A process that another fault paused cannot exit.
            entry.with_process(Process::resume);
            sleep(Duration::from_millis(50)).await;
        }
    });
    if exited.await.is_err() {
        soak.checks.record_violation("an entry did not exit in time after SIGTERM".into());
    }
    if is_same_process() {
        entry.kill();
    }
    entry.start_process();
}

async fn kill_and_restart(entry: Rc<EntryProcess>, duration: Duration) {
    entry.kill();
    sleep(duration).await;
    entry.start_process();
}

/// Interrupts an entry's open and new connections to the store.
async fn disrupt_store(entry: Rc<EntryProcess>, mode: ProxyMode, duration: Duration) {
    entry.store_proxy.set_mode(mode);
    entry.store_proxy.close_open_connections();
    sleep(duration).await;
    entry.store_proxy.set_mode(ProxyMode::Forward);
}

/// Time for which the store is away while it is restored.
const RESTORE_TIME: Duration = Duration::from_millis(300);
/// Time after the restore in which the operator and the backend servers write
/// their rows again.
const REWRITE_DELAY: Duration = Duration::from_millis(500);

/// Restores the store from a copy of some time before. What the operator and the
/// backend servers wrote since is written again, what the entries wrote is not.
async fn restore_store(soak: Rc<Soak>, age: Duration) {
    let copy = soak.store.copy();
    sleep(age).await;
    for entry in &soak.entries {
        entry.store_proxy.set_mode(ProxyMode::Close);
        entry.store_proxy.close_open_connections();
    }
    sleep(RESTORE_TIME).await;
    soak.store.restore(copy);
    for entry in &soak.entries {
        entry.store_proxy.set_mode(ProxyMode::Forward);
    }
    sleep(REWRITE_DELAY).await;
    soak.store.put("op", "config", &config(soak.config_version.get(), crate::harness::LAYERS));
    for backend in soak.engines.iter().chain(&soak.plain_servers) {
        backend.write_server_row();
    }
}

fn change_settings(entry: &EntryProcess) {
    entry.change_settings();
    entry.with_process(Process::send_sighup);
}

fn change_config(soak: &Soak) {
    let version = soak.config_version.get() + 1;
    soak.config_version.set(version);
    soak.store.put("op", "config", &config(version, crate::harness::LAYERS));
}

async fn change_behaviour(plain: Backend, which: u8, duration: Duration) {
    let behaviours = [
        Behaviour::Refuse,
        Behaviour::Fail,
        Behaviour::RunAndClose,
        Behaviour::ServeCloseDelimited,
    ];
    plain.behaviour.set(behaviours[usize::from(which) % behaviours.len()]);
    sleep(duration).await;
    plain.behaviour.set(Behaviour::Serve);
}

async fn disconnect_streams(engine: Backend, duration: Duration) {
    engine.disconnect_after.set(Some(4));
    sleep(duration).await;
    engine.disconnect_after.set(None);
}

async fn drain(engine: Backend, duration: Duration) {
    engine.draining.set(true);
    sleep(duration).await;
    engine.draining.set(false);
}

/// Lets two servers name a limit in their responses.
async fn name_limit(plain: Backend, engine: Backend, duration: Duration) {
    for server in [&plain, &engine] {
        server.extra_headers.replace(vec![("server-limit", "4.5")]);
    }
    sleep(duration).await;
    for server in [&plain, &engine] {
        server.extra_headers.replace(Vec::new());
    }
}

async fn name_retry_delay(plain: Backend, duration: Duration) {
    plain.extra_headers.replace(vec![("retry-after", "0.7")]);
    plain.behaviour.set(Behaviour::Refuse);
    sleep(duration).await;
    plain.behaviour.set(Behaviour::Serve);
    plain.extra_headers.replace(Vec::new());
}

/// Lets a server say that it is draining, and restarts it under its id.
async fn leave_and_restart(server: Backend, duration: Duration) {
    server.extra_headers.replace(vec![("server-leaving", "1")]);
    sleep(duration).await;
    crash_and_restart(server, duration).await;
}

async fn crash_and_restart(server: Backend, duration: Duration) {
    if server.crashed.get() {
        return;
    }
    server.crash();
    sleep(duration).await;
    server.restart().await;
}

/// Time after which a server that a request has crashed starts again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Restarts the servers that requests crash, until the callers stop.
pub async fn restart_crashed_servers(soak: Rc<Soak>) {
    let mut crashes_seen = HashMap::new();
    while !soak.stop_callers.get() {
        for server in soak.engines.iter().chain(&soak.plain_servers) {
            let seen = crashes_seen.entry(server.id.clone()).or_insert(0);
            let crashes = server.crashed_by.borrow().len();
            if crashes > *seen {
                *seen = crashes;
                let server = server.clone();
                spawn_local(async move {
                    sleep(RESTART_DELAY).await;
                    server.restart().await;
                });
            }
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Random interval until the next fault; some faults follow within 60 ms.
pub fn fault_interval(rng: &mut impl Rng) -> Duration {
    let max_ms = if rng.random_bool(0.3) { 60 } else { 600 };
    Duration::from_millis(rng.random_range(0..max_ms))
}

/// Lets engines end streams with their connection, break off inside an event or send
/// one that has no end, until the callers stop. Its random numbers are its own, so that
/// the faults of a seed stay as they were.
pub async fn break_streams(soak: Rc<Soak>) {
    let mut rng = SmallRng::seed_from_u64(soak.seed.wrapping_add(2));
    while !soak.stop_callers.get() {
        let engine = soak.engines.choose(&mut rng).expect("nonempty list");
        let events = rng.random_range(0..15);
        engine.close_delimited_streams.set(rng.random());
        match rng.random_range(0..3) {
            0 => engine.breaks_event_after.set(Some(events)),
            1 => engine.endless_after.set(Some(events)),
            _ => {}
        }
        sleep(Duration::from_millis(rng.random_range(100..800))).await;
        engine.close_delimited_streams.set(false);
        engine.breaks_event_after.set(None);
        engine.endless_after.set(None);
    }
}

/// Lets the store answer nothing for some time, again and again, until the faults end.
pub async fn silence_store(soak: Rc<Soak>) {
    let mut rng = SmallRng::seed_from_u64(soak.seed.wrapping_add(3));
    while !soak.stop_outages.get() {
        sleep(Duration::from_millis(rng.random_range(800..3_000))).await;
        soak.store.set_silent(true);
        sleep(Duration::from_millis(rng.random_range(100..1_500))).await;
        soak.store.set_silent(false);
    }
}

/// Lets engines refuse reports and orders and ask to be left alone, until the faults
/// end.
pub async fn refuse_control_calls(soak: Rc<Soak>) {
    let mut rng = SmallRng::seed_from_u64(soak.seed.wrapping_add(4));
    while !soak.stop_outages.get() {
        let engine = soak.engines.choose(&mut rng).expect("nonempty list");
        engine.extra_headers.replace(vec![("retry-after", "0.7")]);
        engine.refuses_control.set(true);
        sleep(Duration::from_millis(rng.random_range(100..1_000))).await;
        engine.refuses_control.set(false);
        engine.extra_headers.replace(Vec::new());
        sleep(Duration::from_millis(rng.random_range(100..800))).await;
    }
}
