//! The seeded generator that all chance of an instance comes from; by default that of seed 0.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub struct Chance(pub ChaCha8Rng);

impl Chance {
    pub fn seeded(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }
}

impl Default for Chance {
    fn default() -> Self {
        Self::seeded(0)
    }
}
