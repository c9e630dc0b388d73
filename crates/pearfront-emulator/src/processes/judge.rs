//! What must hold of the views that processes told, held against what was truly done to them. It reads the records and
//! nothing else.

use super::test_cluster::{Act, Records};
use std::collections::{BTreeMap, BTreeSet};

/// Longest stand-still of a process, ms, for which nobody may hold it to be gone, and how long the news of a longer one
/// may still be on their way.
const BORNE: f64 = 2500.0;
const EXCUSED: f64 = 10_000.0;

#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    pub at: f64,
    pub what: String,
}

#[derive(Debug, Clone, Default)]
pub struct Verdict {
    pub broken: Vec<Finding>,
    /// For each life that was killed: when each that ran on first held it to be gone, ms after.
    pub found: Vec<(String, Vec<f64>)>,
    /// For each that stood still for longer than must be borne: when each first held it silent, ms after it stopped.
    pub silent: Vec<(String, Vec<f64>)>,
    /// The test cluster itself was late at the hundredth by so much, us.
    pub late_p99_us: u64,
}

/// One start of a process to its end.
struct Life {
    who: usize,
    from: f64,
    /// When it was ended, and whether it was killed.
    to: Option<(f64, bool)>,
    /// When it stood still for longer than must be borne, to the end of what is excused.
    still: Vec<(f64, f64)>,
}

/// Looks at all views. `cuts_excuse` says that ways were cut for so long that silence was true: then only the end counts.
pub fn judge(records: &Records, cuts_excuse: bool) -> Verdict {
    let lives = lives(records);
    let mut verdict = Verdict::default();
    let mut gone: BTreeMap<(usize, String), f64> = BTreeMap::new();
    let mut over: BTreeSet<(usize, String)> = BTreeSet::new();
    let mut told: Vec<(usize, String)> = Vec::new();
    for (at, who, view) in &records.views {
        for member in &view.members {
            let Some(life) = lives.get(&member.life) else { continue };
            let key = (*who, member.life.clone());
            if !member.is_here() {
                let runs = life.to.is_none_or(|(to, _)| *at < to);
                gone.entry(key.clone()).or_insert(*at);
                // Who was held silent while it ran may say so and die before its word has come to all.
                if !runs || member.state != "silent" {
                    over.insert(key.clone());
                }
                let excused = life.still.iter().any(|(from, to)| (*from..*to).contains(at)) || cuts_excuse;
                if runs && !excused && !told.contains(&key) {
                    told.push(key);
                    let what =
                        format!("{} holds {}, which runs, to be {}", view.name, member.name, member.state);
                    verdict.broken.push(Finding { at: *at, what });
                }
            } else if over.contains(&key) && life.to.is_some_and(|(to, _)| *at > to) && !told.contains(&key) {
                told.push(key);
                let what = format!("{} brings back {}, a life that is over", view.name, member.name);
                verdict.broken.push(Finding { at: *at, what });
            }
        }
    }
    at_the_end(records, &lives, &mut verdict);
    for (name, life) in &lives {
        if let Some((to, true)) = life.to {
            // Whoever was cut off may have held it to be gone before.
            let times =
                gone.iter().filter(|((_, of), at)| of == name && **at >= to).map(|(_, at)| at - to).collect();
            verdict.found.push((records.names[life.who].clone(), times));
        }
    }
    for (name, life) in &lives {
        for (since, until) in &life.still {
            let times = gone.iter().filter(|((_, of), at)| of == name && (*since..*until).contains(*at));
            let times = times.map(|(_, at)| at - since).collect();
            verdict.silent.push((records.names[life.who].clone(), times));
        }
    }
    if let Some(late) = &records.late {
        verdict.late_p99_us = late.value_at_quantile(0.99);
    }
    verdict
}

/// Nobody who runs is held to be gone for good, nobody who does not to be here.
fn at_the_end(records: &Records, lives: &BTreeMap<String, Life>, verdict: &mut Verdict) {
    let mut last = BTreeMap::new();
    for (_, who, view) in &records.views {
        last.insert(*who, view);
    }
    for (who, view) in last {
        let own = lives.get(&view.life);
        if own.is_none_or(|life| life.to.is_some() || life.who != who) {
            continue;
        }
        for member in &view.members {
            let Some(life) = lives.get(&member.life) else { continue };
            if life.to.is_none() != member.is_here() {
                let what = format!("{} holds {} to be {} at the end", view.name, member.name, member.state);
                verdict.broken.push(Finding { at: records.length, what });
            }
        }
    }
}

fn lives(records: &Records) -> BTreeMap<String, Life> {
    let mut lives: BTreeMap<String, Life> = BTreeMap::new();
    let mut stopped: BTreeMap<usize, f64> = BTreeMap::new();
    for (at, act) in &records.acts {
        let (who, killed) = match act {
            Act::Started { who, life } => {
                let new = Life { who: *who, from: *at, to: None, still: Vec::new() };
                lives.insert(life.clone(), new);
                continue;
            }
            Act::Stopped { who } => {
                stopped.insert(*who, *at);
                continue;
            }
            Act::Continued { who } => {
                let since = stopped.remove(who).filter(|since| at - since > BORNE);
                if let (Some(since), Some(life)) = (since, last_of(&mut lives, *who)) {
                    life.still.push((since, at + EXCUSED));
                }
                continue;
            }
            Act::Killed { who } => (*who, true),
            Act::Ended { who } => (*who, false),
            Act::Way { .. } | Act::Note(_) => continue,
        };
        if let Some(life) = last_of(&mut lives, who) {
            life.to = Some((*at, killed));
        }
    }
    lives
}

fn last_of(lives: &mut BTreeMap<String, Life>, who: usize) -> Option<&mut Life> {
    let of = lives.values_mut().filter(|life| life.who == who);
    of.max_by(|a, b| a.from.total_cmp(&b.from))
}

#[cfg(test)]
mod tests;
