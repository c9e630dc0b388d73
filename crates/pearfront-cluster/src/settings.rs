//! What an operator says of the cluster; unknown keys are refused. Checked here, so that a fault is told by its key before
//! anything is bound.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Shortest and longest that each time may be, ms.
const TIME: (f64, f64) = (10.0, 86_400_000.0);

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the installation: packets of another one are dropped.
    pub installation: String,
    /// Name of this process among the others, for life; the node's own if absent.
    pub name: Option<String>,
    #[serde(default)]
    pub zone: String,
    /// Where it listens, by UDP and TCP.
    pub listen: SocketAddr,
    /// Where others reach it; where it listens if absent.
    pub advertise: Option<SocketAddr>,
    /// Some of the others, to begin with; they need not be up.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Addresses by name where this process reaches others elsewhere than they say; they are asked at the start, too.
    #[serde(default)]
    pub peers: BTreeMap<String, SocketAddr>,
    /// What has to be known after a restart is kept there; without it the others tell.
    pub folder: Option<PathBuf>,
    #[serde(default)]
    pub times: Times,
}

/// Times in ms; each has the default that the core was measured with.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    pub period_ms: Option<f64>,
    pub answer_ms: Option<f64>,
    pub suspicion_ms: Option<f64>,
    pub compare_ms: Option<f64>,
    pub ask_again_ms: Option<f64>,
    pub remember_ms: Option<f64>,
}

impl Settings {
    /// # Errors
    /// The first key that can't be as it is, and why.
    pub fn check(&self) -> Result<(), String> {
        let text = |key: &str, value: &str, least: usize, most: usize| {
            let fits = (least..=most).contains(&value.len());
            if fits { Ok(()) } else { Err(format!("{key} has {} bytes, not {least} to {most}", value.len())) }
        };
        text("installation", &self.installation, 1, 32)?;
        if let Some(name) = &self.name {
            text("name", name, 1, 64)?;
        }
        text("zone", &self.zone, 0, 32)?;
        if self.reached_at().ip().is_unspecified() {
            return Err("advertise is needed where listen names no address of its own".into());
        }
        self.times.check()
    }

    /// Where others reach this process.
    pub fn reached_at(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// Whom to ask at the start.
    pub(crate) fn asked_first(&self, own: &str) -> Vec<SocketAddr> {
        let peers = self.peers.iter().filter(|(name, _)| *name != own).map(|(_, address)| *address);
        self.seeds.iter().copied().chain(peers).collect()
    }
}

impl Times {
    fn pairs(&self) -> [(&'static str, Option<f64>); 6] {
        [
            ("period_ms", self.period_ms),
            ("answer_ms", self.answer_ms),
            ("suspicion_ms", self.suspicion_ms),
            ("compare_ms", self.compare_ms),
            ("ask_again_ms", self.ask_again_ms),
            ("remember_ms", self.remember_ms),
        ]
    }

    fn check(&self) -> Result<(), String> {
        let (least, most) = TIME;
        for (key, value) in self.pairs() {
            if let Some(value) = value.filter(|value| !(least..=most).contains(value)) {
                return Err(format!("times.{key} is {value}, not {least} to {most}"));
            }
        }
        let core = self.core();
        if core.suspicion < core.period {
            return Err("times.suspicion_ms is below times.period_ms: nobody could answer in it".into());
        }
        Ok(())
    }

    pub(crate) fn core(&self) -> pearfront_membership::Times {
        let usual = pearfront_membership::Times::default();
        pearfront_membership::Times {
            period: self.period_ms.unwrap_or(usual.period),
            answer: self.answer_ms.unwrap_or(usual.answer),
            suspicion: self.suspicion_ms.unwrap_or(usual.suspicion),
            compare: self.compare_ms.unwrap_or(usual.compare),
            ask_again: self.ask_again_ms.unwrap_or(usual.ask_again),
            remember: self.remember_ms.unwrap_or(usual.remember),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;
    use test_case::test_case;

    fn told(change: serde_json::Value) -> String {
        let mut all = json!({"installation": "shop", "listen": "127.0.0.1:7000"});
        all.as_object_mut().unwrap().extend(change.as_object().unwrap().clone());
        match serde_json::from_value::<Settings>(all) {
            Ok(settings) => settings.check().err().unwrap_or_default(),
            Err(error) => error.to_string(),
        }
    }

    #[test_case(json!({}), ""; "the least")]
    #[test_case(json!({"installation": ""}), "installation has 0 bytes, not 1 to 32"; "no installation")]
    #[test_case(json!({"listen": "0.0.0.0:7000"}), "advertise is needed where listen names no address of its own"; "any address")]
    #[test_case(json!({"times": {"period_ms": 0}}), "times.period_ms is 0, not 10 to 86400000"; "no period")]
    #[test_case(json!({"times": {"period_ms": 500, "suspicion_ms": 100}}), "times.suspicion_ms is below times.period_ms: nobody could answer in it"; "hasty")]
    #[test_case(json!({"seed": []}), "unknown field `seed`, expected one of `installation`, `name`, `zone`, `listen`, `advertise`, `seeds`, `peers`, `folder`, `times`"; "unknown key")]
    fn a_fault_is_told_by_its_key(change: serde_json::Value, wanted: &str) {
        assert_eq!(told(change), wanted);
    }
}
