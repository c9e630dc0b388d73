//! Generates, from a seed, a scenario of one minute of mixed faults for processes that hold duties: kills, pauses, cuts
//! in one or both directions, stalled streams. Voters are hit as often as the other processes.

use super::scenario::{Expect, Folder, Scenario, Trouble, What};
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

/// Length of the scenario, s, and mean time between two faults, s.
const LENGTH: f64 = 60.0;
const EVERY: f64 = 2.5;
/// Shortest and longest fault, s.
const LASTS: (f64, f64) = (0.3, 6.0);
/// Time, s, that a process is left without faults after it recovered.
const REST: f64 = 1.0;
/// The duty's lease, ms.
const LEASE: f64 = 2000.0;
/// Name of the duty that the holders request.
pub const DUTY: &str = "export";

impl Scenario {
    /// A scenario with `voters` voters, and as many further processes that request the duty.
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
