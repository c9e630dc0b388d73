//! What the log says of duties. No clock is here: whose lease is over the leader proposes, and the log decides.

use crate::times::{LEASE, MAX_DUTIES, MAX_HOLDERS, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One life of a process: after a restart it is another, and holds nothing of what it held.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessId {
    pub name: String,
    pub life: u64,
}

/// One that is to have a duty.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grantee {
    pub who: ProcessId,
    /// How long it may be silent, ms.
    pub lease: f64,
    /// What it does may go on when its process has ended: its lease has to end, too, before another begins.
    pub outlives_process: bool,
    /// How many may hold this duty with it.
    pub max_holders: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    Grant {
        duty: String,
        to: Grantee,
    },
    /// Whoever has that token has it no more; another may take its place in the same instant.
    End {
        duty: String,
        token: u64,
        next: Option<Grantee>,
        /// What it did ended well.
        succeeded: bool,
    },
    /// Nothing but the time.
    Time,
}

/// An entry of the log: a command and the log's time, ms, which never goes back and stands still while nobody leads.
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

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Holder {
    pub who: ProcessId,
    /// Grows over the whole life of the installation.
    pub token: u64,
    pub lease: f64,
    pub outlives_process: bool,
    /// The log's time when it was granted.
    pub granted_at: f64,
}

/// The last run that ended well.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LastRun {
    pub at: f64,
    pub by: String,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Duty {
    pub holders: Vec<Holder>,
    pub last_run: Option<LastRun>,
}

/// What has come of an entry.
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
    /// It could not be granted: others hold it, or there are too many duties.
    Refused {
        duty: String,
        who: ProcessId,
    },
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Duties {
    at: f64,
    /// The last token that was given, of any duty: one that is forgotten and comes back goes on above its old ones.
    last_token: u64,
    duties: BTreeMap<String, Duty>,
}

impl Duties {
    /// The log's time, ms.
    pub fn log_time(&self) -> f64 {
        self.at
    }

    pub fn last_token(&self) -> u64 {
        self.last_token
    }

    /// Goes on so far above the last token: where others may have been given that nobody here knows of.
    pub fn skip_tokens(&mut self, count: u64) {
        self.last_token += count;
    }

    pub fn get(&self, duty: &str) -> Option<&Duty> {
        self.duties.get(duty)
    }

    pub fn all(&self) -> impl Iterator<Item = (&String, &Duty)> {
        self.duties.iter()
    }

    pub fn holders(&self, duty: &str) -> &[Holder] {
        self.get(duty).map_or(&[], |duty| &duty.holders)
    }

    /// The holder that has this token.
    pub fn holder(&self, duty: &str, token: u64) -> Option<&Holder> {
        self.holders(duty).iter().find(|holder| holder.token == token)
    }

    /// Takes over a snapshot; none if it is not one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Applies one committed entry. What is no entry changes nothing: the beginning of a leader's term is none.
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
