//! Property tests that draw the same cases in each run.

use quickcheck::{Gen, QuickCheck};

/// Size of the drawn values, quickcheck's own default.
const SIZE: usize = 100;

/// A property test from a seed that is fixed and printed.
pub fn seeded(seed: u64) -> QuickCheck {
    println!("quickcheck seed {seed}");
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, seed))
}
