//! Is a history of one duty what a single place could have answered, one call after another? Wing and Gong's search over
//! the orders that its times allow (Testing and verifying concurrent objects, 1993), with what was seen remembered.
//! A lease may run out at any time, so a duty may be taken while another had it; what may not be is a token that is not
//! above all before it, or a renewal of one that is over.

use std::collections::BTreeSet;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum What {
    /// The duty was given under this token.
    Take(u64),
    /// It was still held under this token.
    Renew(u64),
    /// It is held under this token no more.
    GiveUp(u64),
}

impl What {
    /// The token that it has to find held or free.
    fn needs(self) -> Option<u64> {
        match self {
            Self::Take(token) | Self::Renew(token) => Some(token),
            Self::GiveUp(_) => None,
        }
    }
}

/// A call, when it was made and when its answer came; infinity if none came, and then it may have done something or not.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Call {
    pub what: What,
    pub from: f64,
    pub to: f64,
}

/// States that are looked at before the search gives up.
const MOST: usize = 2_000_000;

/// The duty, and the calls that are in it: all before `first`, and these.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    first: usize,
    ahead: BTreeSet<usize>,
    holder: Option<u64>,
    last: u64,
}

impl State {
    fn has(&self, place: usize) -> bool {
        place < self.first || self.ahead.contains(&place)
    }

    /// Behind that call, if it can come here.
    fn after(&self, place: usize, what: What, count: usize) -> Option<Self> {
        let mut next = self.clone();
        match what {
            What::Take(token) if token > self.last => (next.holder, next.last) = (Some(token), token),
            What::Renew(token) if self.holder == Some(token) => {}
            What::GiveUp(token) if token <= self.last => {
                next.holder = self.holder.filter(|holder| *holder != token);
            }
            _ => return None,
        }
        next.ahead.insert(place);
        while next.first < count && next.ahead.remove(&next.first) {
            next.first += 1;
        }
        Some(next)
    }
}

/// # Errors
/// No order of the calls explains them; the furthest that one came.
pub fn linearizable(history: &[Call]) -> Result<(), String> {
    let mut calls = history.to_vec();
    calls.sort_by(|a, b| a.from.total_cmp(&b.from));
    let begin = State { first: 0, ahead: BTreeSet::new(), holder: None, last: 0 };
    let (mut open, mut seen) = (vec![begin.clone()], BTreeSet::from([begin]));
    let mut furthest = 0;
    while let Some(state) = open.pop() {
        let left = || (state.first..calls.len()).filter(|place| !state.has(*place));
        // Whatever has not happened yet happens before the first of them is answered.
        let by = left().map(|place| calls[place].to).fold(f64::INFINITY, f64::min);
        if by.is_infinite() {
            return Ok(());
        }
        furthest = furthest.max(state.first);
        // Tokens only grow: a duty that is taken under one leaves what is open under those below it without a place.
        let lowest =
            left().filter(|place| calls[*place].to.is_finite()).filter_map(|place| calls[place].what.needs());
        let lowest = lowest.min().unwrap_or(u64::MAX);
        for place in left().take_while(|place| calls[*place].from <= by) {
            if matches!(calls[place].what, What::Take(token) if token > lowest) {
                continue;
            }
            let Some(next) = state.after(place, calls[place].what, calls.len()) else { continue };
            if seen.insert(next.clone()) {
                open.push(next);
            }
        }
        if seen.len() > MOST {
            return Err(format!("too many orders of {} calls", calls.len()));
        }
    }
    let around = calls[furthest.min(calls.len() - 1)..].iter().take(4).collect::<Vec<_>>();
    Err(format!("no order explains {around:?}"))
}

#[cfg(test)]
mod tests;
