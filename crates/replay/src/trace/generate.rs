//! Generation of synthetic traces, reproducible by seed.

use std::str::FromStr;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use snafu::Snafu;

use super::{TraceEvent, TraceKind};

/// Load shape of an example deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LoadShape {
    /// Constant request rate; chats with many different prompt prefixes.
    Kiosk,
    /// Periodic bursts; chats that share few prompt prefixes.
    Rally,
}

/// Error returned for an unknown load shape name.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("unknown load shape; expected `kiosk` or `rally`"))]
pub(crate) struct LoadShapeError;

impl FromStr for LoadShape {
    type Err = LoadShapeError;

    fn from_str(text: &str) -> Result<Self, LoadShapeError> {
        match text {
            "kiosk" => Ok(Self::Kiosk),
            "rally" => Ok(Self::Rally),
            _ => Err(LoadShapeError),
        }
    }
}

/// Period of the bursts, in ms: one burst and the calm phase after it.
const BURST_PERIOD_MS: u64 = 10_000;

/// Duration of a burst, in ms.
const BURST_MS: u64 = 2_000;

/// Request rate within a burst as a multiple of the rate between bursts.
const BURST_FACTOR: f64 = 5.0;

/// Generates a trace with Poisson arrivals and a given mean rate.
pub(crate) fn generate(
    shape: LoadShape,
    seed: u64,
    requests_per_second: f64,
    duration_ms: u64,
) -> Vec<TraceEvent> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at_ms = 0.0;
    loop {
        let rate = requests_per_second * rate_factor(shape, at_ms as u64);
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at_ms += -uniform.ln() * 1_000.0 / rate;
        if at_ms >= duration_ms as f64 {
            return events;
        }
        events.push(generate_event(shape, at_ms as u64, &mut rng));
    }
}

/// Returns the ratio of the current rate to the mean rate. Averages to 1 over a
/// burst period, so that bursts do not change the mean rate of a trace.
fn rate_factor(shape: LoadShape, at_ms: u64) -> f64 {
    let burst_share = BURST_MS as f64 / BURST_PERIOD_MS as f64;
    let between_bursts = 1.0 / (1.0 - burst_share + burst_share * BURST_FACTOR);
    match shape {
        LoadShape::Kiosk => 1.0,
        LoadShape::Rally if at_ms % BURST_PERIOD_MS < BURST_MS => between_bursts * BURST_FACTOR,
        LoadShape::Rally => between_bursts,
    }
}

fn generate_event(shape: LoadShape, at_ms: u64, rng: &mut SmallRng) -> TraceEvent {
    let chat_percent = match shape {
        LoadShape::Kiosk => 60,
        LoadShape::Rally => 80,
    };
    let sample = rng.random_range(0..100);
    if sample < chat_percent {
        return generate_chat(shape, at_ms, rng);
    }
    let (kind, target) = match sample % 2 {
        0 => (TraceKind::Lookup, "/stock/blank"),
        _ => (TraceKind::Order, "/orders/cut"),
    };
    TraceEvent { at_ms, kind, target: target.into(), prefix: 0, prompt_words: 0, tokens: 0 }
}

/// Generates a chat. Prompt and response lengths follow a truncated Pareto
/// distribution, which gives them a heavy tail.
fn generate_chat(shape: LoadShape, at_ms: u64, rng: &mut SmallRng) -> TraceEvent {
    let prefix_count = match shape {
        LoadShape::Kiosk => 200,
        LoadShape::Rally => 4,
    };
    let uniform: f64 = rng.random_range(0.02..1.0);
    let length_factor = uniform.powf(-0.6);
    TraceEvent {
        at_ms,
        kind: TraceKind::Chat,
        target: "key-advisor".into(),
        prefix: rng.random_range(0..prefix_count),
        prompt_words: (40.0 * length_factor) as u32,
        tokens: (16.0 * length_factor) as u32,
    }
}
