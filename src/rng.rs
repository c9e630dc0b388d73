//! The seeded random number generator that all random choices of an instance come from, so that a run can be repeated.
//! Used by the decision module and by the node's watch and probes of the server list.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// A generator of reproducible random numbers; the default one has seed 0.
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
