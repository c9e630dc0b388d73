//! Scenario files for the test cluster (TOML): how many processes, and the faults that are injected into them and into the
//! links between them. `Scenario::parse` is the only entry point; `pearfront rehearse` and the tests use it.

use super::relay::Weather;
use super::test_cluster::MOST;
use crate::scenario::{Mistake, above, read, within};
use serde::Deserialize;
use serde_json::Value;

/// One scenario for several node processes.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// Number of node processes, named n0, n1 and so on.
    pub processes: usize,
    /// Number of zones, named z0, z1 and so on, assigned to the processes in turn.
    #[serde(default = "three")]
    pub zones: usize,
    #[serde(default = "one")]
    pub seed: u64,
    /// Time-out, after the end of the last fault, for all views to agree.
    #[serde(default = "sixty")]
    pub patience_s: f64,
    /// Overrides the key `cluster` in each process's configuration file.
    #[serde(default)]
    pub cluster: Value,
    /// Processes through which a client requests the duty during the run, as an operators' command would; `cluster` has
    /// to name voters.
    #[serde(default)]
    pub holders: Vec<usize>,
    #[serde(default = "export")]
    pub duty: String,
    #[serde(default)]
    pub expect: Expect,
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

/// Expected results, in addition to the rules that always hold.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Links are cut for so long that running processes may be reported silent during the run, but not at the end.
    pub cuts_excuse: bool,
    /// Time, s, within which all running processes must have detected each kill.
    pub found_within_s: Option<f64>,
    /// Most suspicions that all processes together may raise.
    pub suspicions_most: Option<u64>,
    /// Time, s, after the end of the last fault within which all views must agree again.
    pub agreed_within_s: Option<f64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// SIGKILL; the processes restart after `for_s`, if that is given.
    Kill,
    /// SIGTERM; the processes restart after `for_s`, if that is given.
    End,
    /// SIGSTOP, then SIGCONT after `for_s`.
    Stop,
    /// Rolling restart: each process of `who` in turn gets SIGTERM and restarts, `for_s` apart.
    Roll,
    /// Drops all traffic from `from` to `to`, with `both` in both directions.
    Cut,
    /// Streams stay open but stall; datagrams pass.
    StallStreams,
    /// Datagrams are dropped; streams pass.
    LoseDatagrams,
    /// Resets all streams.
    Reset,
    /// Applies `loss`, `doubled` and `delay_ms` from `from` to `to`.
    Weather,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Folder {
    #[default]
    Kept,
    /// As it was at the start of the run.
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
    /// State of the data folder with which ended processes restart.
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
    /// End of the fault, s from the start of the run.
    pub fn ends(&self) -> f64 {
        let times = if self.what == What::Roll { self.who.len() as f64 } else { 1.0 };
        self.at_s + times * self.for_s.unwrap_or(0.0)
    }

    /// Network conditions that this fault sets on links, if it is a network fault.
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
    /// Parses and checks a scenario file.
    ///
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
