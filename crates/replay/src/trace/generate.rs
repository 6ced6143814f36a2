//! Generators of traces with pinned seeds.

use std::str::FromStr;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use snafu::Snafu;

use super::{TraceEvent, TraceKind};

/// Load of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Shape {
    /// Kiosks: a steady stream of chats, lookups and cut orders.
    Kiosk,
    /// Rallies: bursts of chats about a shared rulebook, registrations.
    Rally,
}

/// A text that names no shape.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("a shape is `kiosk` or `rally`"))]
pub(crate) struct ShapeError;

impl FromStr for Shape {
    type Err = ShapeError;

    fn from_str(text: &str) -> Result<Self, ShapeError> {
        match text {
            "kiosk" => Ok(Self::Kiosk),
            "rally" => Ok(Self::Rally),
            _ => Err(ShapeError),
        }
    }
}

/// Length of one burst and the pause after it, in ms.
const BURST_CYCLE_MS: u64 = 10_000;

/// Part of a cycle in which the bursts come, in ms.
const BURST_MS: u64 = 2_000;

/// Rate within a burst as a multiple of the rate outside.
const BURST_FACTOR: f64 = 5.0;

/// Generates a trace of a mean rate.
pub(crate) fn generate(
    shape: Shape,
    seed: u64,
    per_second: f64,
    duration_ms: u64,
) -> Vec<TraceEvent> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at_ms = 0.0;
    loop {
        let rate = per_second * rate_factor(shape, at_ms as u64);
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at_ms += -uniform.ln() * 1_000.0 / rate;
        if at_ms >= duration_ms as f64 {
            return events;
        }
        events.push(event(shape, at_ms as u64, &mut rng));
    }
}

/// Keeps the mean over a cycle at 1.
fn rate_factor(shape: Shape, at_ms: u64) -> f64 {
    let burst_share = BURST_MS as f64 / BURST_CYCLE_MS as f64;
    let calm = 1.0 / (1.0 - burst_share + burst_share * BURST_FACTOR);
    match shape {
        Shape::Kiosk => 1.0,
        Shape::Rally if at_ms % BURST_CYCLE_MS < BURST_MS => calm * BURST_FACTOR,
        Shape::Rally => calm,
    }
}

fn event(shape: Shape, at_ms: u64, rng: &mut SmallRng) -> TraceEvent {
    let chats = match shape {
        Shape::Kiosk => 60,
        Shape::Rally => 80,
    };
    let drawn = rng.random_range(0..100);
    if drawn < chats {
        return chat(shape, at_ms, rng);
    }
    let (kind, target) = match drawn % 2 {
        0 => (TraceKind::Lookup, "/stock/blank"),
        _ => (TraceKind::Order, "/orders/cut"),
    };
    TraceEvent { at_ms, kind, target: target.into(), prefix: 0, prompt_words: 0, tokens: 0 }
}

/// Lengths have a heavy tail: a power of a uniform number.
fn chat(shape: Shape, at_ms: u64, rng: &mut SmallRng) -> TraceEvent {
    let prefixes = match shape {
        Shape::Kiosk => 200,
        Shape::Rally => 4,
    };
    let uniform: f64 = rng.random_range(0.02..1.0);
    let tail = uniform.powf(-0.6);
    TraceEvent {
        at_ms,
        kind: TraceKind::Chat,
        target: "key-advisor".into(),
        prefix: rng.random_range(0..prefixes),
        prompt_words: (40.0 * tail) as u32,
        tokens: (16.0 * tail) as u32,
    }
}
