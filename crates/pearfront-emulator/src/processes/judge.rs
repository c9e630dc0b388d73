//! Checks the membership views that processes reported against what was really done to the processes. It reads only the
//! records of a test cluster; scenarios and tests use it for their verdict.

use super::test_cluster::{Act, Records};
use std::collections::{BTreeMap, BTreeSet};

/// Longest pause of a process, ms, during which no member may report it as gone; and how long, ms, after a longer pause
/// reports of it may still spread.
const TOLERATED_PAUSE_MS: f64 = 2500.0;
const REPORT_GRACE_MS: f64 = 10_000.0;

#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    pub at: f64,
    pub what: String,
}

#[derive(Debug, Clone, Default)]
pub struct Verdict {
    pub broken: Vec<Finding>,
    /// For each killed process run: detection times of the other members, ms after the kill.
    pub found: Vec<(String, Vec<f64>)>,
    /// For each pause longer than `TOLERATED_PAUSE_MS`: when each other member first reported the process silent, ms after
    /// it began.
    pub silent: Vec<(String, Vec<f64>)>,
    /// 99th percentile of the test cluster's own scheduling delay, us.
    pub late_p99_us: u64,
}

/// One run of a process, from its start to its end.
struct Life {
    who: usize,
    from: f64,
    /// When it ended, and whether it was killed.
    to: Option<(f64, bool)>,
    /// Pauses longer than `TOLERATED_PAUSE_MS`, each with the `REPORT_GRACE_MS` time after it.
    pauses: Vec<(f64, f64)>,
}

/// Checks all views. `cuts_excuse` means that links were cut for so long that members were rightly reported silent; then
/// false reports count only at the end.
pub fn judge(records: &Records, cuts_excuse: bool) -> Verdict {
    let lives = lives(records);
    let mut verdict = Verdict::default();
    let mut gone: BTreeMap<(usize, String), f64> = BTreeMap::new();
    let mut seen_gone: BTreeSet<(usize, String)> = BTreeSet::new();
    let mut reported: Vec<(usize, String)> = Vec::new();
    for (at, who, view) in &records.views {
        for member in &view.members {
            let Some(life) = lives.get(&member.life) else { continue };
            let key = (*who, member.life.clone());
            if !member.is_here() {
                let runs = life.to.is_none_or(|(to, _)| *at < to);
                gone.entry(key.clone()).or_insert(*at);
                // A process reported silent while it runs may refute it and die before the refutation reaches everyone.
                if !runs || member.state != "silent" {
                    seen_gone.insert(key.clone());
                }
                let excused = life.pauses.iter().any(|(from, to)| (*from..*to).contains(at)) || cuts_excuse;
                if runs && !excused && !reported.contains(&key) {
                    reported.push(key);
                    let what =
                        format!("{} holds {}, which runs, to be {}", view.name, member.name, member.state);
                    verdict.broken.push(Finding { at: *at, what });
                }
            } else if seen_gone.contains(&key)
                && life.to.is_some_and(|(to, _)| *at > to)
                && !reported.contains(&key)
            {
                reported.push(key);
                let what = format!("{} brings back {}, a life that is over", view.name, member.name);
                verdict.broken.push(Finding { at: *at, what });
            }
        }
    }
    check_final_views(records, &lives, &mut verdict);
    for (name, life) in &lives {
        if let Some((to, true)) = life.to {
            // Members that were cut off may have reported it gone before the kill.
            let times =
                gone.iter().filter(|((_, of), at)| of == name && **at >= to).map(|(_, at)| at - to).collect();
            verdict.found.push((records.names[life.who].clone(), times));
        }
    }
    for (name, life) in &lives {
        for (since, until) in &life.pauses {
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

/// At the end, no view may report a running process as gone or an ended one as present.
fn check_final_views(records: &Records, lives: &BTreeMap<String, Life>, verdict: &mut Verdict) {
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
                let new = Life { who: *who, from: *at, to: None, pauses: Vec::new() };
                lives.insert(life.clone(), new);
                continue;
            }
            Act::Stopped { who } => {
                stopped.insert(*who, *at);
                continue;
            }
            Act::Continued { who } => {
                let since = stopped.remove(who).filter(|since| at - since > TOLERATED_PAUSE_MS);
                if let (Some(since), Some(life)) = (since, latest_life(&mut lives, *who)) {
                    life.pauses.push((since, at + REPORT_GRACE_MS));
                }
                continue;
            }
            Act::Killed { who } => (*who, true),
            Act::Ended { who } => (*who, false),
            Act::Way { .. } | Act::Note(_) => continue,
        };
        if let Some(life) = latest_life(&mut lives, who) {
            life.to = Some((*at, killed));
        }
    }
    lives
}

fn latest_life(lives: &mut BTreeMap<String, Life>, who: usize) -> Option<&mut Life> {
    let of = lives.values_mut().filter(|life| life.who == who);
    of.max_by(|a, b| a.from.total_cmp(&b.from))
}

#[cfg(test)]
mod tests;
