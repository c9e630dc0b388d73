//! The state machine on the log: holders, tokens and the last run of each duty. It has no clock: the leader
//! proposes the end of an expired lease, and the log decides.

use crate::times::{LEASE, MAX_DUTIES, MAX_HOLDERS, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One run of a process. After a restart `life` differs, and the process holds nothing that it held before.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessId {
    pub name: String,
    pub life: u64,
}

/// A process that is to get a duty.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grantee {
    pub who: ProcessId,
    /// Lease, ms.
    pub lease: f64,
    /// Its work may go on after its process has ended, so its lease has to expire before another may begin.
    pub outlives_process: bool,
    /// How many may hold this duty at a time.
    pub max_holders: u32,
}

/// A change that the leader proposes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    Grant {
        duty: String,
        to: Grantee,
    },
    /// Ends a token; `next` takes its place in the same step.
    End {
        duty: String,
        token: u64,
        next: Option<Grantee>,
        /// Whether the run succeeded.
        succeeded: bool,
    },
    /// Only advances the log's time.
    Time,
}

/// A log entry: a command and the log's time, ms. That time never goes back, and stands still while there is no
/// leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub at: f64,
    pub command: Command,
}

impl Entry {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

/// A process that holds a duty.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Holder {
    pub who: ProcessId,
    /// Fencing token; rises over the whole life of the installation.
    pub token: u64,
    pub lease: f64,
    pub outlives_process: bool,
    /// The log's time of the grant.
    pub granted_at: f64,
}

/// The last successful run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LastRun {
    pub at: f64,
    pub by: String,
}

/// Holders of a duty, and its last successful run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Duty {
    pub holders: Vec<Holder>,
    pub last_run: Option<LastRun>,
}

/// What an entry has changed.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    Granted {
        duty: String,
        holder: Holder,
    },
    Ended {
        duty: String,
        holder: Holder,
    },
    /// Not granted: others hold the duty, or there are too many duties.
    Refused {
        duty: String,
        who: ProcessId,
    },
}

/// All duties; equal on all voters that have applied the same entries.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Duties {
    at: f64,
    /// The last token granted for any duty. A duty that is removed and returns gets higher tokens than before.
    last_token: u64,
    duties: BTreeMap<String, Duty>,
}

impl Duties {
    /// The log's time, ms.
    pub fn log_time(&self) -> f64 {
        self.at
    }

    /// The last token that was granted.
    pub fn last_token(&self) -> u64 {
        self.last_token
    }

    /// Skips tokens that may have been granted by voters whose state is lost.
    pub fn skip_tokens(&mut self, count: u64) {
        self.last_token += count;
    }

    /// The duty of that name, if it has holders or a recorded run.
    pub fn get(&self, duty: &str) -> Option<&Duty> {
        self.duties.get(duty)
    }

    /// All duties, by name.
    pub fn all(&self) -> impl Iterator<Item = (&String, &Duty)> {
        self.duties.iter()
    }

    /// Holders of a duty; empty if it is unknown.
    pub fn holders(&self, duty: &str) -> &[Holder] {
        self.get(duty).map_or(&[], |duty| &duty.holders)
    }

    /// The holder with this token.
    pub fn holder(&self, duty: &str, token: u64) -> Option<&Holder> {
        self.holders(duty).iter().find(|holder| holder.token == token)
    }

    /// Decodes a snapshot; `None` if the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Applies a committed entry. Bytes that are no `Entry`, such as the first entry of a leader's term, change
    /// nothing.
    pub fn apply(&mut self, bytes: &[u8]) -> Vec<Change> {
        let Ok(entry) = postcard::from_bytes::<Entry>(bytes) else { return Vec::new() };
        if entry.at.is_finite() {
            self.at = self.at.max(entry.at);
        }
        match entry.command {
            Command::Grant { duty, to } => vec![self.grant(duty, to)],
            Command::End { duty, token, next, succeeded } => self.end(&duty, token, next, succeeded),
            Command::Time => Vec::new(),
        }
    }

    fn grant(&mut self, duty: String, to: Grantee) -> Change {
        let known = self.duties.contains_key(&duty);
        let holders = self.holders(&duty);
        let is_holder = holders.iter().any(|holder| holder.who == to.who);
        let has_room = holders.len() < to.max_holders.clamp(1, MAX_HOLDERS) as usize;
        let is_name = (1..=MAX_NAME_BYTES).contains(&duty.len());
        if is_holder || !has_room || !is_name || (!known && self.duties.len() >= MAX_DUTIES) {
            return Change::Refused { duty, who: to.who };
        }
        self.last_token += 1;
        let (least, most) = LEASE;
        let lease = if to.lease.is_finite() { to.lease.clamp(least, most) } else { most };
        let holder = Holder {
            who: to.who,
            token: self.last_token,
            lease,
            outlives_process: to.outlives_process,
            granted_at: self.at,
        };
        self.duties.entry(duty.clone()).or_default().holders.push(holder.clone());
        Change::Granted { duty, holder }
    }

    fn end(&mut self, name: &str, token: u64, next: Option<Grantee>, succeeded: bool) -> Vec<Change> {
        let at = self.at;
        let Some(duty) = self.duties.get_mut(name) else { return Vec::new() };
        let Some(place) = duty.holders.iter().position(|holder| holder.token == token) else {
            return Vec::new();
        };
        let holder = duty.holders.remove(place);
        if succeeded {
            duty.last_run = Some(LastRun { at, by: holder.who.name.clone() });
        }
        if duty.holders.is_empty() && duty.last_run.is_none() {
            self.duties.remove(name);
        }
        let mut changes = vec![Change::Ended { duty: name.into(), holder }];
        changes.extend(next.map(|to| self.grant(name.into(), to)));
        changes
    }
}

#[cfg(test)]
mod tests;
