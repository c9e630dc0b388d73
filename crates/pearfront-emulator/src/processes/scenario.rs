//! A rehearsal of several processes as its file describes it, in the notation of the others: how many, and what is done
//! to them and to the ways between them. `Scenario::parse` is the only way in.

use super::relay::Weather;
use super::test_cluster::MOST;
use crate::scenario::{Mistake, above, read, within};
use serde::Deserialize;
use serde_json::Value;

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// Node programs, called n0, n1 and so on.
    pub processes: usize,
    /// Zones, called z0, z1 and so on, among which they take turns.
    #[serde(default = "three")]
    pub zones: usize,
    #[serde(default = "one")]
    pub seed: u64,
    /// How long, after the last trouble is over, all may take to agree.
    #[serde(default = "sixty")]
    pub patience_s: f64,
    /// Put over the key `cluster` of each process's file.
    #[serde(default)]
    pub cluster: Value,
    /// Processes beside which somebody wants the duty meanwhile, as a command of the operators' would; `cluster` has to
    /// name voters.
    #[serde(default)]
    pub holders: Vec<usize>,
    #[serde(default = "export")]
    pub duty: String,
    #[serde(default)]
    pub expect: Expect,
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

/// What has to come of it, beside what always must.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Ways are cut for so long that silence is true: who runs may be held silent meanwhile, not at the end.
    pub cuts_excuse: bool,
    /// Every killed process is known to be gone to all that run within this time.
    pub found_within_s: Option<f64>,
    /// Suspicions that all processes together may raise.
    pub suspicions_most: Option<u64>,
    /// All agree again within this time of the last trouble's end.
    pub agreed_within_s: Option<f64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// SIGKILL; they start again after `for_s`, if that is given.
    Kill,
    /// SIGTERM, and the same.
    End,
    /// SIGSTOP, and SIGCONT after `for_s`.
    Stop,
    /// One after another of `who` ends by SIGTERM and starts again, `for_s` apart.
    Roll,
    /// Nothing passes from `from` to `to`; with `both` neither way.
    Cut,
    /// Streams stay open and pass nothing; datagrams do.
    StallStreams,
    /// Datagrams don't pass; streams do.
    LoseDatagrams,
    /// Streams end at once.
    Reset,
    /// `loss`, `doubled` and `delay_ms` from `from` to `to`.
    Weather,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Folder {
    #[default]
    Kept,
    /// As it was at the start of the play.
    Older,
    Empty,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    pub what: What,
    pub at_s: f64,
    pub for_s: Option<f64>,
    /// Processes by their numbers; all if absent.
    #[serde(default)]
    pub who: Vec<usize>,
    #[serde(default)]
    pub from: Vec<usize>,
    #[serde(default)]
    pub to: Vec<usize>,
    #[serde(default)]
    pub both: bool,
    #[serde(default)]
    pub loss: f64,
    #[serde(default)]
    pub doubled: f64,
    #[serde(default)]
    pub delay_ms: (f64, f64),
    /// With what folder killed ones start again.
    #[serde(default)]
    pub folder: Folder,
}

fn one() -> u64 {
    1
}
fn three() -> usize {
    3
}
fn export() -> String {
    super::storm::DUTY.into()
}
fn sixty() -> f64 {
    60.0
}

impl Trouble {
    /// When it is over, s.
    pub fn ends(&self) -> f64 {
        let times = if self.what == What::Roll { self.who.len() as f64 } else { 1.0 };
        self.at_s + times * self.for_s.unwrap_or(0.0)
    }

    /// What befalls a way, where it is one that befalls ways.
    pub fn weather(&self) -> Option<Weather> {
        Some(match self.what {
            What::Cut => Weather::CUT,
            What::StallStreams => Weather { no_streams: true, ..Weather::FINE },
            What::LoseDatagrams => Weather { no_datagrams: true, ..Weather::FINE },
            What::Weather => {
                Weather { loss: self.loss, doubled: self.doubled, delay: self.delay_ms, ..Weather::FINE }
            }
            _ => return None,
        })
    }
}

impl Scenario {
    /// # Errors
    /// The first mistake, with its key and line.
    pub fn parse(text: &str) -> Result<Self, Mistake> {
        let mut scenario: Self = read(text, Self::check)?;
        let all: Vec<usize> = (0..scenario.processes).collect();
        for trouble in &mut scenario.troubles {
            for list in [&mut trouble.who, &mut trouble.from, &mut trouble.to] {
                if list.is_empty() {
                    list.clone_from(&all);
                }
            }
        }
        Ok(scenario)
    }

    fn check(&self) -> Result<(), (String, String)> {
        within("processes", self.processes as f64, 2.0, MOST as f64)?;
        within("zones", self.zones as f64, 1.0, MOST as f64)?;
        above("patience_s", self.patience_s, 0.0, 3600.0)?;
        if !(self.cluster.is_null() || self.cluster.is_object()) {
            return Err(("cluster".into(), "is no table".into()));
        }
        if let Some(who) = self.holders.iter().find(|who| **who >= self.processes) {
            return Err(("holders".into(), format!("there is no process {who}")));
        }
        if !self.holders.is_empty() && !self.cluster["voters"].is_array() {
            return Err(("holders".into(), "need cluster.voters".into()));
        }
        for (at, trouble) in self.troubles.iter().enumerate() {
            let key = |name: &str| format!("troubles[{at}].{name}");
            within(&key("at_s"), trouble.at_s, 0.0, 86_400.0)?;
            above(&key("for_s"), trouble.for_s.unwrap_or(1.0), 0.0, 86_400.0)?;
            within(&key("loss"), trouble.loss, 0.0, 1.0)?;
            within(&key("doubled"), trouble.doubled, 0.0, 1.0)?;
            within(&key("delay_ms"), trouble.delay_ms.0, 0.0, trouble.delay_ms.1)?;
            within(&key("delay_ms"), trouble.delay_ms.1, trouble.delay_ms.0, 60_000.0)?;
            let lasts = matches!(trouble.what, What::Stop | What::Roll) || trouble.weather().is_some();
            if lasts && trouble.for_s.is_none() {
                return Err((key("what"), "needs for_s".into()));
            }
            for (name, list) in [("who", &trouble.who), ("from", &trouble.from), ("to", &trouble.to)] {
                if let Some(who) = list.iter().find(|who| **who >= self.processes) {
                    return Err((key(name), format!("there is no process {who}")));
                }
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
