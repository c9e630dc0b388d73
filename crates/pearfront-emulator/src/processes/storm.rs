//! A minute of mixed troubles for processes that hold duties, drawn by seed: kills, stops, cuts either way or both, streams
//! that stall or end. Voters have as much of it as the others.

use super::scenario::{Expect, Folder, Scenario, Trouble, What};
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

/// How long, s, and the mean time between two troubles.
const LENGTH: f64 = 60.0;
const EVERY: f64 = 2.5;
/// Shortest and longest trouble, s.
const LASTS: (f64, f64) = (0.3, 6.0);
/// One that is itself again is left alone for so long, s.
const REST: f64 = 1.0;
/// The duty's lease, ms.
const LEASE: f64 = 2000.0;
pub const DUTY: &str = "export";

impl Scenario {
    /// So many voters, and as many again that want a duty.
    pub fn storm(seed: u64, voters: usize) -> Self {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let processes = 2 * voters;
        let all: Vec<usize> = (0..processes).collect();
        let mut well_from = vec![0.0; processes];
        let (mut at, mut troubles) = (1.0, Vec::new());
        while at < LENGTH - LASTS.1 {
            let who = chance.random_range(0..processes);
            let lasts = chance.random_range(LASTS.0..LASTS.1);
            let what = chance.random_range(0..7);
            if well_from[who] <= at {
                well_from[who] = at + lasts + REST;
                troubles.push(trouble(what, at, lasts, who, &all));
            }
            at -= EVERY * (1.0 - chance.random::<f64>()).ln();
        }
        let names: Vec<String> = (0..voters).map(|who| format!("n{who}")).collect();
        Self {
            name: format!("duties in a storm, seed {seed}"),
            processes,
            zones: 3,
            seed,
            patience_s: 60.0,
            cluster: json!({
                "voters": names, "duties": {DUTY: {"lease_ms": LEASE}}, "times": {"steady_ms": 5000},
            }),
            holders: (voters..processes).collect(),
            duty: DUTY.into(),
            expect: Expect { cuts_excuse: true, ..Expect::default() },
            troubles,
        }
    }
}

fn trouble(what: usize, at_s: f64, lasts: f64, who: usize, all: &[usize]) -> Trouble {
    let (what, from, to, both) = match what {
        0 | 1 => (What::Kill, vec![], vec![], false),
        2 => (What::Stop, vec![], vec![], false),
        3 => (What::Cut, vec![who], all.to_vec(), false),
        4 => (What::Cut, all.to_vec(), vec![who], false),
        5 => (What::Cut, vec![who], all.to_vec(), true),
        _ => (What::StallStreams, vec![who], all.to_vec(), true),
    };
    Trouble {
        what,
        at_s,
        for_s: Some(lasts),
        who: vec![who],
        from,
        to,
        both,
        loss: 0.0,
        doubled: 0.0,
        delay_ms: (0.0, 0.0),
        folder: Folder::Kept,
    }
}
