//! What the tests of this crate share.

use quickcheck::{Gen, QuickCheck};

/// Interleavings of one test where the environment names no other number.
const INTERLEAVINGS: u64 = 1_000;

/// Choices in one interleaving.
const CHOICES: usize = 96;

/// A pinned run of interleavings. `CLEMENTINE_INTERLEAVINGS` sets their number
/// for the benchmark.
pub fn interleavings(seed: u64) -> QuickCheck {
    let wanted = std::env::var("CLEMENTINE_INTERLEAVINGS").ok();
    let count = wanted.and_then(|text| text.parse().ok()).unwrap_or(INTERLEAVINGS);
    let random = Gen::from_size_and_seed(CHOICES, seed);
    QuickCheck::new().rng(random).tests(count).max_tests(count)
}

/// Hands out the choices of one interleaving; zeros after the last one.
#[derive(Debug)]
pub struct Choices {
    choices: std::vec::IntoIter<u16>,
}

impl Choices {
    /// Choices as quickcheck drew them.
    pub fn new(choices: Vec<u16>) -> Self {
        Self { choices: choices.into_iter() }
    }

    /// Whether choices are left.
    pub fn any_left(&self) -> bool {
        self.choices.len() > 0
    }

    /// A number below a bound.
    pub fn below(&mut self, bound: usize) -> usize {
        usize::from(self.choices.next().unwrap_or(0)) % bound.max(1)
    }
}
