//! The `cluster` section of a node's configuration. Unknown keys are refused, and values are checked before
//! anything is bound, so that errors name the faulty key.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Range of each time, ms.
const TIME_RANGE_MS: (f64, f64) = (10.0, 86_400_000.0);

/// The `cluster` section.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the installation; packets of other installations are dropped.
    pub installation: String,
    /// Permanent name of this process; defaults to the node's name.
    pub name: Option<String>,
    #[serde(default)]
    pub zone: String,
    /// Address to listen on, for UDP and TCP.
    pub listen: SocketAddr,
    /// Address at which others reach it; defaults to `listen`.
    pub advertise: Option<SocketAddr>,
    /// Addresses of some other processes, contacted at the start; they need not be up.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Addresses by name, for processes that are reached at another address than they advertise. They are
    /// contacted at the start as well.
    #[serde(default)]
    pub peers: BTreeMap<String, SocketAddr>,
    /// Folder for state that has to survive a restart. Without it the other members supply the incarnation.
    pub folder: Option<PathBuf>,
    #[serde(default)]
    pub times: Times,
    /// Names of the three or five voters; the same in every file. Without voters there are no duties.
    #[serde(default)]
    pub voters: Vec<String>,
    /// Duties that differ from the default of one holder and a lease of 10 s.
    #[serde(default)]
    pub duties: BTreeMap<String, DutySettings>,
    /// Limits how many nodes of a zone may drain or end at a time; without it there is no limit.
    pub drain_permit: Option<PermitSettings>,
}

/// The drain permit.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PermitSettings {
    /// Nodes per zone that may be away at a time.
    pub at_most: u32,
    /// How long a node may be away before its permit passes to another, ms. A restart has to fit in.
    pub restart_ms: f64,
}

impl Default for PermitSettings {
    fn default() -> Self {
        Self { at_most: 1, restart_ms: 30_000.0 }
    }
}

/// Terms of one duty.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DutySettings {
    /// How many may hold it at a time.
    pub holders: u32,
    /// Lease, ms.
    pub lease_ms: f64,
    /// Zones in order of preference; zones that are not named come last.
    pub zones: Vec<String>,
    /// Preference of this process for the duty; lower values come first: 0 before 1 and so on.
    #[serde(rename = "wish")]
    pub preference: u8,
}

impl Default for DutySettings {
    fn default() -> Self {
        Self { holders: 1, lease_ms: 10_000.0, zones: Vec::new(), preference: 0 }
    }
}

/// Range of a lease, ms.
const LEASE_RANGE_MS: (f64, f64) = (1000.0, 600_000.0);
/// Range of the number of holders.
const HOLDER_RANGE: (u32, u32) = (1, 1024);

/// Duty names appear unescaped in paths and log lines.
pub(crate) fn is_duty_name(name: &str) -> bool {
    let fits = |letter: char| letter.is_ascii_alphanumeric() || "._:-".contains(letter);
    (1..=64).contains(&name.len()) && name.chars().all(fits)
}

/// Times in ms. The default of each is that of its protocol.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    /// Membership: how often a member probes another.
    pub period_ms: Option<f64>,
    /// Membership: shortest time-out of a probe.
    pub answer_ms: Option<f64>,
    /// Membership: shortest duration of a suspicion.
    pub suspicion_ms: Option<f64>,
    /// Membership: how often views are compared.
    pub compare_ms: Option<f64>,
    /// Membership: how often an absent member is probed.
    pub ask_again_ms: Option<f64>,
    /// Membership: how long absent members are remembered.
    pub remember_ms: Option<f64>,
    /// Among voters: interval of a leader's heartbeats, and the election time-out.
    pub beat_ms: Option<f64>,
    pub election_ms: Option<f64>,
    /// How long a better candidate and the current holder must have been stable before a duty moves.
    pub steady_ms: Option<f64>,
}

/// Defaults among voters, ms. They are longer than those of the protocol: real processes share their
/// processors, and elections caused by a busy machine help nobody.
const HEARTBEAT_MS: f64 = 100.0;
const ELECTION_MS: f64 = 500.0;

impl Settings {
    /// Checks all values.
    ///
    /// # Errors
    /// The first faulty key, and why.
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
        if self.advertised_address().ip().is_unspecified() {
            return Err("advertise is needed where listen names no address of its own".into());
        }
        self.check_duties()?;
        self.times.check()
    }

    fn check_duties(&self) -> Result<(), String> {
        let mut voters = self.voters.clone();
        voters.sort();
        voters.dedup();
        if voters.len() != self.voters.len() {
            return Err("voters names one twice".into());
        }
        if ![0, 3, 5].contains(&voters.len()) {
            return Err(format!("voters are {}, not 3 or 5", voters.len()));
        }
        if voters.is_empty() && !self.duties.is_empty() {
            return Err("duties need voters".into());
        }
        let (least, most) = LEASE_RANGE_MS;
        if let Some(permit) = &self.drain_permit {
            if voters.is_empty() {
                return Err("drain_permit needs voters".into());
            }
            if !(least..=most).contains(&permit.restart_ms) {
                return Err(format!(
                    "drain_permit.restart_ms is {}, not {least} to {most}",
                    permit.restart_ms
                ));
            }
            if !(HOLDER_RANGE.0..=HOLDER_RANGE.1).contains(&permit.at_most) {
                return Err(format!(
                    "drain_permit.at_most is {}, not 1 to {}",
                    permit.at_most, HOLDER_RANGE.1
                ));
            }
        }
        for (name, duty) in &self.duties {
            if !is_duty_name(name) {
                return Err(format!("duties.{name}: a name has 1 to 64 letters, digits and . _ : -"));
            }
            if !(least..=most).contains(&duty.lease_ms) {
                return Err(format!("duties.{name}.lease_ms is {}, not {least} to {most}", duty.lease_ms));
            }
            if !(HOLDER_RANGE.0..=HOLDER_RANGE.1).contains(&duty.holders) {
                return Err(format!(
                    "duties.{name}.holders is {}, not 1 to {}",
                    duty.holders, HOLDER_RANGE.1
                ));
            }
        }
        Ok(())
    }

    /// The folder for a voter's records; `None` if this process is no voter.
    ///
    /// # Errors
    /// A voter without a folder, since it has to keep its promises over a restart.
    pub(crate) fn voter_folder(&self, own: &str) -> Result<Option<PathBuf>, String> {
        if !self.voters.iter().any(|name| name == own) {
            return Ok(None);
        }
        let folder = self.folder.as_ref().ok_or("folder is needed by a voter")?;
        Ok(Some(folder.join("voter")))
    }

    /// Address at which others reach this process.
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// Addresses to contact at the start.
    pub(crate) fn initial_contacts(&self, own: &str) -> Vec<SocketAddr> {
        let peers = self.peers.iter().filter(|(name, _)| *name != own).map(|(_, address)| *address);
        self.seeds.iter().copied().chain(peers).collect()
    }
}

impl Times {
    fn pairs(&self) -> [(&'static str, Option<f64>); 9] {
        [
            ("period_ms", self.period_ms),
            ("answer_ms", self.answer_ms),
            ("suspicion_ms", self.suspicion_ms),
            ("compare_ms", self.compare_ms),
            ("ask_again_ms", self.ask_again_ms),
            ("remember_ms", self.remember_ms),
            ("beat_ms", self.beat_ms),
            ("election_ms", self.election_ms),
            ("steady_ms", self.steady_ms),
        ]
    }

    fn check(&self) -> Result<(), String> {
        let (least, most) = TIME_RANGE_MS;
        for (key, value) in self.pairs() {
            if let Some(value) = value.filter(|value| !(least..=most).contains(value)) {
                return Err(format!("times.{key} is {value}, not {least} to {most}"));
            }
        }
        let consensus = self.consensus();
        if consensus.election < 2.0 * consensus.heartbeat {
            return Err(
                "times.election_ms is below two of times.beat_ms: a lost beat would be an election".into()
            );
        }
        let membership = self.membership();
        if membership.suspicion < membership.probe_period {
            return Err("times.suspicion_ms is below times.period_ms: nobody could answer in it".into());
        }
        Ok(())
    }

    pub(crate) fn consensus(&self) -> pearfront_consensus::Times {
        let (heartbeat, election) =
            (self.beat_ms.unwrap_or(HEARTBEAT_MS), self.election_ms.unwrap_or(ELECTION_MS));
        pearfront_consensus::Times { heartbeat, election }
    }

    pub(crate) fn duties(&self) -> pearfront_duties::Times {
        let defaults = pearfront_duties::Times::default();
        pearfront_duties::Times { stability: self.steady_ms.unwrap_or(defaults.stability), ..defaults }
    }

    pub(crate) fn membership(&self) -> pearfront_membership::Times {
        let defaults = pearfront_membership::Times::default();
        pearfront_membership::Times {
            probe_period: self.period_ms.unwrap_or(defaults.probe_period),
            probe_timeout: self.answer_ms.unwrap_or(defaults.probe_timeout),
            suspicion: self.suspicion_ms.unwrap_or(defaults.suspicion),
            sync_interval: self.compare_ms.unwrap_or(defaults.sync_interval),
            reconnect_interval: self.ask_again_ms.unwrap_or(defaults.reconnect_interval),
            retention: self.remember_ms.unwrap_or(defaults.retention),
        }
    }
}

#[cfg(test)]
mod tests;
