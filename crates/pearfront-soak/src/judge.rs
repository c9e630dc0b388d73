//! The oracle: what clients, servers, discovery and the relay wrote down, held against the rules. Nothing that a node says of
//! itself counts. Times are ms.

mod answers;
mod attempts;
mod budgets;
mod history;
mod operators;

use crate::plan::Plan;
use crate::record::Record;
use history::Records;

/// A change counts as told so long after discovery had it and could be reached, whatever became of the calls.
const TOLD: f64 = 6000.0;
/// What is measured on both sides may differ by so much.
const SLACK: f64 = 50.0;
/// A process may be held up for so long between its clock and its write.
const HELD_UP: f64 = 150.0;
/// A process serves so long after its start.
const STARTS: f64 = 300.0;
/// Bounds on the time that discovery's word for a connection's end is late.
const WATCH_GAP: f64 = 200.0;

/// Which rule was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    Lost,
    Duplicate,
    Drain,
    Failback,
    Budget,
    Deadline,
    /// What operators ask of a node.
    Operators,
    Crash,
}

/// One break, in words.
#[derive(Debug, Clone)]
pub struct Break {
    pub rule: Rule,
    pub at: f64,
    pub what: String,
}

/// What came of a play.
#[derive(Debug, Default)]
pub struct Verdict {
    pub breaks: Vec<Break>,
    pub requests: usize,
    pub attempts: usize,
    pub served: usize,
    pub refused: usize,
    pub left: usize,
    /// Requests that came while no process of their node was there; what became of them is not judged.
    pub unserved: usize,
    /// Requests whose connection a node shut in their time with nothing of them read.
    pub shut_unread: usize,
}

/// Holds a play's records against the rules.
pub fn judge(plan: &Plan, records: &[Record]) -> Verdict {
    let all = Records::new(plan, records);
    let mut verdict = Verdict {
        requests: all.requests.len(),
        attempts: all.attempts.values().map(Vec::len).sum(),
        served: all
            .requests
            .values()
            .filter(|request| request.answer.is_some_and(|(_, it)| it == 200))
            .count(),
        refused: all
            .requests
            .values()
            .filter(|request| request.answer.is_some_and(|(_, it)| it != 200))
            .count(),
        left: all.requests.values().filter(|request| request.left.is_some()).count(),
        unserved: all.requests.values().filter(|request| all.is_unserved(request.node, request.at)).count(),
        shut_unread: 0,
        breaks: Vec::new(),
    };
    let held_up = if plan.holds_up() { HELD_UP } else { 0.0 };
    for (id, request) in &all.requests {
        let attempts = all.attempts.get(id).map_or(&[][..], Vec::as_slice);
        answers::lost(&all, id, request, held_up, &mut verdict);
        answers::flow(&all, id, request, attempts, &mut verdict.breaks);
        answers::left(&all, id, request, attempts, held_up, &mut verdict.breaks);
        attempts::deadline(&all, id, request, attempts, &mut verdict.breaks);
        attempts::duplicate(plan, id, request, attempts, &mut verdict.breaks);
        attempts::drain(plan, &all, id, request, attempts, &mut verdict.breaks);
    }
    budgets::budget(&all, &mut verdict.breaks);
    budgets::failback(plan, &all, &mut verdict.breaks);
    answers::stalled(&all, &mut verdict.breaks);
    operators::operators(&all, &mut verdict.breaks);
    verdict.breaks.extend(all.crashes);
    verdict.breaks.sort_by(|a, b| a.at.total_cmp(&b.at));
    verdict
}

#[cfg(test)]
mod tests;
