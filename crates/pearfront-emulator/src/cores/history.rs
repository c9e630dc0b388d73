//! Linearizability check for the history of one duty: Wing and Gong's search over the orders that the call times allow
//! (Testing and verifying concurrent objects, 1993), with visited states remembered. A lease may expire at any time, so a
//! duty may be taken while another had it; a token that is not above all earlier ones, or a renewal of an ended token, is
//! a violation. Used by the simulation of duties.

use std::collections::BTreeSet;

/// Effect of a call, as its answer reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum What {
    /// The duty was granted under this token.
    Take(u64),
    /// It was still held under this token.
    Renew(u64),
    /// The duty is no longer held under this token.
    GiveUp(u64),
}

impl What {
    /// The token that has to be the current or a new one.
    fn needs(self) -> Option<u64> {
        match self {
            Self::Take(token) | Self::Renew(token) => Some(token),
            Self::GiveUp(_) => None,
        }
    }
}

/// A call with the times of its request and its answer. Without an answer `to` is infinite, and the call may or may not
/// have taken effect.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Call {
    pub what: What,
    pub from: f64,
    pub to: f64,
}

/// Number of states after which the search gives up.
const MOST: usize = 2_000_000;

/// State of the duty, and the calls applied to it: all before `first`, and those in `ahead`.
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

    /// State after that call, if the call is possible in this state.
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

/// Checks that some order of the calls explains the history.
///
/// # Errors
/// No order explains it; names the calls around the furthest point reached.
pub fn linearizable(history: &[Call]) -> Result<(), String> {
    let mut calls = history.to_vec();
    calls.sort_by(|a, b| a.from.total_cmp(&b.from));
    let begin = State { first: 0, ahead: BTreeSet::new(), holder: None, last: 0 };
    let (mut open, mut seen) = (vec![begin.clone()], BTreeSet::from([begin]));
    let mut furthest = 0;
    while let Some(state) = open.pop() {
        let left = || (state.first..calls.len()).filter(|place| !state.has(*place));
        // The next call to take effect must have been sent before the earliest answer of the remaining calls.
        let by = left().map(|place| calls[place].to).fold(f64::INFINITY, f64::min);
        if by.is_infinite() {
            return Ok(());
        }
        furthest = furthest.max(state.first);
        // Tokens only grow: once a duty is taken under one, remaining calls under lower tokens can't be placed any more.
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
