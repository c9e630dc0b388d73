//! What goes between whoever wants duties and the voters. `decode` is the only way in, and takes nothing on trust.

use crate::state::Who;
use crate::times::{LEASE, LONGEST_NAME, MOST_HOLDERS, MOST_WANTS};
use pearfront_codec::Bounded;
use serde::{Deserialize, Serialize};

/// How well placed one is for a duty; lower is better, the first difference decides, then the name.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Standing {
    /// Place of its zone in the duty's order of zones.
    pub zone: u8,
    /// Tenths of what it can bear that it bears already.
    pub load: u8,
    /// What its own operators wish.
    pub wish: u8,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Want {
    pub duty: String,
    pub most: u32,
    pub lease: f64,
    pub outlives: bool,
    /// Not again within this time, ms, after a run that ended well; 0 if that does not matter.
    pub once_per: f64,
    pub standing: Standing,
}

/// A duty that the sender is done with, or gives up.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Over {
    pub duty: String,
    pub token: u64,
    pub well: bool,
}

/// What operators want done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Whoever holds it under that token is to give it up, for that one if one is named. The token makes it the same order
    /// if it is said twice.
    Move { duty: String, token: u64, to: Option<String> },
}

/// Everything that one process wants, holds and is done with: the next one says all of it again, so none is missed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    pub from: Who,
    pub number: u64,
    /// Number of the last of its asks whose answer it heard.
    pub answered: u64,
    pub holds: Vec<(String, u64)>,
    pub wants: Vec<Want>,
    pub over: Vec<Over>,
    pub orders: Vec<Order>,
    /// Tell of all duties.
    pub list: bool,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Held {
    pub duty: String,
    pub token: u64,
    pub lease: f64,
    /// Its lease counts from this ask; if not, it runs out.
    pub renewed: bool,
    /// It is to be given up.
    pub give_up: bool,
}

/// A duty that the asker wants and others have.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Waits {
    pub duty: String,
    pub holders: Vec<Taken>,
    /// Time since the last run that ended well, ms.
    pub ran_ago: Option<f64>,
}

/// Who has it, and until when at the latest if nothing is heard of it any more, ms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Taken {
    pub name: String,
    pub token: u64,
    pub left: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    pub duty: String,
    pub holders: Vec<Taken>,
    /// Who wants it, the best first.
    pub candidates: Vec<String>,
    pub ran_ago: Option<f64>,
    pub ran_by: Option<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Another voter leads, or nobody that this one knows of.
    Elsewhere { leader: Option<String> },
    /// How things stand, as seen after the ask came: what the asker holds that is not named here it has no more.
    Stands { held: Vec<Held>, waits: Vec<Waits>, list: Option<Vec<Listed>>, orders: Vec<String> },
    /// One duty is the asker's, granted after its ask came.
    Granted(Held),
}

/// An answer to the ask of that number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Told {
    pub from: String,
    pub to: Who,
    pub number: u64,
    pub answer: Answer,
}

fn named(name: &str) -> bool {
    (1..=LONGEST_NAME).contains(&name.len())
}

impl Bounded for Ask {
    fn is_bounded(&self) -> bool {
        let few = self.wants.len() <= MOST_WANTS
            && self.holds.len() <= MOST_WANTS
            && self.over.len() <= MOST_WANTS
            && self.orders.len() <= MOST_WANTS;
        let want = |want: &Want| {
            named(&want.duty)
                && (1..=MOST_HOLDERS).contains(&want.most)
                && (LEASE.0..=LEASE.1).contains(&want.lease)
                && want.once_per >= 0.0
        };
        few && named(&self.from.name) && self.wants.iter().all(want)
    }
}

impl Bounded for Told {
    fn is_bounded(&self) -> bool {
        let held = |held: &Held| held.lease.is_finite() && held.lease >= 0.0;
        match &self.answer {
            Answer::Elsewhere { .. } => true,
            Answer::Stands { held: all, .. } => all.iter().all(held),
            Answer::Granted(one) => held(one),
        }
    }
}

#[cfg(test)]
mod tests;
