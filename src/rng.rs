//! The seeded generator that all chance of an instance comes from; by default that of seed 0.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub struct SeededRng(pub ChaCha8Rng);

impl SeededRng {
    pub fn from_seed(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }
}

impl Default for SeededRng {
    fn default() -> Self {
        Self::from_seed(0)
    }
}
