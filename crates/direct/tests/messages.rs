//! Datagrams that are no messages of another entry, or damaged ones.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::test;
use clementine_decide::ids::{IncarnationId, StoreVersion, Tick};
use clementine_decide::peers::{LoadStatus, PeerDatagram, PeerMessage, PeerReport};
use clementine_decide::shares::{
    MAX_REPORTED_SHARES, PoolHash, ShareKey, ShareLedger, WorkCost, WorkspaceHash,
};
use clementine_objects::Millis;
use common::{Backend, Store, config, send_request, start_entry, wait_until};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use tokio::net::UdpSocket;
use tokio::time::sleep;

const SEED: u64 = 11;
const DATAGRAMS: usize = 3_000;
/// Datagrams after which the entry gets time to read them.
const BURST: usize = 50;

/// Address at which an entry receives messages, from its row in the store.
fn message_address(store: &Store, entry: &str) -> Option<SocketAddr> {
    let row: Value = serde_json::from_slice(&store.value("entries", entry)?).ok()?;
    row["address"].as_str()?.parse().ok()
}

fn valid_message() -> Vec<u8> {
    let load = LoadStatus::default();
    let message = PeerMessage {
        from: "other".into(),
        domain: "a".into(),
        incarnation: IncarnationId(7),
        sequence: 1,
        interval: Millis(150),
        config_newest: StoreVersion::default(),
        list_newest: StoreVersion::default(),
        planner: None,
        crashes: Vec::new(),
        signals: Vec::new(),
        report: PeerReport::Entry { leaving: false, feed: None, config: None, load },
    };
    rmp_serde::to_vec(&PeerDatagram::Status(Box::new(message))).expect("message is encoded")
}

/// Random bytes, a part of a valid message, or one with a few bytes changed.
fn damaged(rng: &mut SmallRng, valid: &[u8]) -> Vec<u8> {
    match rng.random_range(0..3) {
        0 => (0..rng.random_range(0..200)).map(|_| rng.random()).collect(),
        1 => valid[..rng.random_range(0..valid.len())].to_vec(),
        _ => {
            let mut bytes = valid.to_vec();
            for _ in 0..rng.random_range(1..4) {
                let at = rng.random_range(0..bytes.len());
                bytes[at] = rng.random();
            }
            bytes
        }
    }
}

#[test]
async fn damaged_datagrams_do_not_disturb_an_entry() {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let _backend = Backend::start("plain-1", "plain", &store).await;
    let entry = start_entry("one", &store).await;
    wait_until("the entry is registered", async || message_address(&store, "one").is_some()).await;
    let address = message_address(&store, "one").expect("registered");
    let socket = UdpSocket::bind(common::loopback_any_port()).await.expect("bind");
    let mut rng = SmallRng::seed_from_u64(SEED);
    let valid = valid_message();
    for n in 0..DATAGRAMS {
        socket.send_to(&damaged(&mut rng, &valid), address).await.expect("sent");
        if n % BURST == 0 {
            sleep(Duration::from_millis(5)).await;
            let response = send_request(entry.callers, "POST", "/safe/x", "x").await;
            assert_eq!(response.status, 200, "after {n} datagrams");
        }
    }
    store.put("op", "config", &config(2, 12).replace("/safe/", "/renamed/"));
    wait_until("the next configuration takes effect", async || {
        send_request(entry.callers, "POST", "/renamed/x", "x").await.status == 200
    })
    .await;
}

/// Guards against messages that grow while there is capacity for all, or by more than
/// 12 bytes per workspace and 11 per pool while there is not.
#[core::prelude::v1::test]
fn sums_of_workspaces_take_little_space() {
    let size = |load: &LoadStatus| rmp_serde::to_vec(load).expect("load is encoded").len();
    let mut ledger = ShareLedger::default();
    for n in 0..100 {
        let key = ShareKey { pool: PoolHash(u32::MAX - n % 3), workspace: WorkspaceHash(n) };
        ledger.record_offered(key, WorkCost::REQUEST, Tick(0));
    }
    let load = |ledger: &ShareLedger| LoadStatus {
        shares: ledger.report(Tick(0)),
        ..LoadStatus::default()
    };
    let without = size(&load(&ledger));
    assert_eq!(without, 3, "an array of two empty ones");
    (0..3).for_each(|n| ledger.record_scarce(PoolHash(u32::MAX - n), Tick(0)));
    let scarce = load(&ledger);
    assert!(size(&scarce) <= without + 3 + MAX_REPORTED_SHARES * 12 + 3 * 11);
    let bytes = rmp_serde::to_vec(&scarce).expect("load is encoded");
    let decoded: LoadStatus = rmp_serde::from_slice(&bytes).expect("load is decoded");
    assert_eq!(decoded, scarce);
    let bytes = rmp_serde::to_vec(&LoadStatus::default()).expect("load is encoded");
    let decoded: LoadStatus = rmp_serde::from_slice(&bytes).expect("load is decoded");
    assert_eq!(decoded, LoadStatus::default());
}

/// Load in the next status message that an entry sends to the socket.
async fn next_load(socket: &UdpSocket) -> LoadStatus {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let (size, _) = socket.recv_from(&mut buf).await.expect("received");
        let Ok(PeerDatagram::Status(message)) = rmp_serde::from_slice(&buf[..size]) else {
            continue;
        };
        if let PeerReport::Entry { load, .. } = message.report {
            return load;
        }
    }
}

/// Guards against work that is not recorded or not sent when capacity is scarce, and
/// against sums that are sent while there is capacity.
#[test]
async fn an_entry_without_capacity_reports_the_work_of_workspaces() {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let _backend = Backend::start("plain-1", "plain", &store).await;
    let entry = start_entry("one", &store).await;
    wait_until("the entry is registered", async || message_address(&store, "one").is_some()).await;
    let address = message_address(&store, "one").expect("registered");
    let socket = UdpSocket::bind(common::loopback_any_port()).await.expect("bind");
    socket.send_to(&valid_message(), address).await.expect("sent");
    wait_until("a request is served", async || {
        send_request(entry.callers, "POST", "/safe/x", "x").await.status == 200
    })
    .await;
    assert!(next_load(&socket).await.shares.is_empty());
    assert_eq!(send_request(entry.callers, "POST", "/stream/x", "x").await.status, 503);
    wait_until("the entry reports", async || !next_load(&socket).await.shares.is_empty()).await;
    let shares = next_load(&socket).await.shares;
    assert!(matches!(&shares.pools[..], [pool] if pool.scarce && pool.workspaces.len() == 1));
    let work = shares.pools[0].workspaces[0];
    assert!(work.demand > 0.0 && work.admitted < f32::EPSILON, "{work:?}");
}
