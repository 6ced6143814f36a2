//! Callers that keep their connections open as long as they can.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead};
use bytes::Bytes;
use clementine_http1::{ClientConn, ServerConn};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::{sleep, timeout};

use crate::fleet::Soak;

/// Time after which a caller gives an answer up: its deadline and some.
const PATIENCE: Duration = Duration::from_secs(6);
/// Time for a connection.
const CONNECT: Duration = Duration::from_secs(1);

/// Kinds of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Stream,
    /// May run again.
    Safe,
    /// May run once at most.
    Once,
}

impl Kind {
    pub const ALL: [Self; 3] = [Self::Stream, Self::Safe, Self::Once];

    const fn path(self) -> &'static str {
        match self {
            Self::Stream => "/stream/x",
            Self::Safe => "/safe/x",
            Self::Once => "/once/x",
        }
    }
}

/// What a caller got.
#[derive(Debug, Default)]
pub struct Got {
    /// 0 where there was no answer.
    pub status: u16,
    pub body: String,
    /// Whether the body ended as it should.
    pub whole: bool,
    /// Id of the request that the answer names.
    pub answers: Option<String>,
}

/// Sends requests until the soak is over.
pub async fn call(soak: Rc<Soak>, number: u64) {
    let mut rng = SmallRng::seed_from_u64(soak.seed.wrapping_mul(1_000) + number);
    let mut kept: Option<ClientConn> = None;
    let mut sent = 0;
    while !soak.over.get() {
        let kind = *Kind::ALL.choose(&mut rng).expect("kinds");
        let Some(mut exchange) = connection(&soak, kept.take(), &mut rng).await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        sent += 1;
        let id = format!("{number:x}-{sent:x}");
        soak.checks.note_asked(kind, &id);
        let got = ask(&mut exchange, kind, &id).await;
        soak.checks.note_got(kind, &id, &got);
        kept = (got.whole && exchange.is_reusable()).then_some(exchange);
        sleep(Duration::from_millis(rng.random_range(0..30))).await;
    }
}

/// The open connection, or one to some entry that runs.
async fn connection(
    soak: &Soak,
    kept: Option<ClientConn>,
    rng: &mut SmallRng,
) -> Option<ClientConn> {
    if kept.is_some() {
        return kept;
    }
    let address = soak.entries.choose(rng)?.callers()?;
    ClientConn::connect(address, CONNECT, &ServerConn::codec_config()).await.ok()
}

/// Sends one request.
pub async fn ask(exchange: &mut ClientConn, kind: Kind, id: &str) -> Got {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = kind.path().parse().expect("a path");
    let headers = [
        ("host", "h"),
        ("request-id", id),
        ("deadline-ms", "5000"),
        ("token-count", "100,40"),
        ("x-api-key", "key"),
        ("tenant", "another"),
    ];
    for (name, value) in headers {
        let value = HeaderValue::from_str(value).expect("a value");
        head.headers.insert(HeaderName::from_static(name), value);
    }
    exchange.queue(head, Bytes::from_static(b"body")).expect("queued");
    let mut got = Got::default();
    // One that takes longer counts as unanswered; what came of it is kept.
    let _ = timeout(PATIENCE, read(exchange, &mut got)).await;
    got
}

async fn read(exchange: &mut ClientConn, got: &mut Got) {
    let Ok(head) = exchange.read_head().await else { return };
    got.status = head.status.as_u16();
    let named = head.headers().get("request-id").and_then(|id| id.to_str().ok());
    got.answers = named.map(String::from);
    loop {
        match exchange.read_chunk().await {
            Ok(Some(chunk)) => got.body.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => return got.whole = true,
            Err(_) => return,
        }
    }
}
