//! The oracle: what clients, servers, discovery and the relay wrote down, held against the rules. Nothing that a node says of
//! itself counts. Times are ms.

mod answers;
mod attempts;
mod budgets;
mod history;
mod operators;

use crate::plan::Plan;
use crate::record::Record;
use history::History;

/// A change counts as told so long after discovery had it and could be reached, whatever became of the calls.
const LIST_PROPAGATION_MS: f64 = 6000.0;
/// What is measured on both sides may differ by so much.
const SLACK_MS: f64 = 50.0;
/// A process may be held up for so long between its clock and its write.
const DELAY_SLACK_MS: f64 = 150.0;
/// A process serves so long after its start.
const STARTUP_MS: f64 = 300.0;
/// Bounds on the time that discovery's word for a connection's end is late.
const WATCH_CLOSE_LAG_MS: f64 = 200.0;

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
    pub description: String,
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
    let history = History::new(plan, records);
    let mut verdict = Verdict {
        requests: history.requests.len(),
        attempts: history.attempts.values().map(Vec::len).sum(),
        served: history
            .requests
            .values()
            .filter(|request| request.answer.is_some_and(|(_, it)| it == 200))
            .count(),
        refused: history
            .requests
            .values()
            .filter(|request| request.answer.is_some_and(|(_, it)| it != 200))
            .count(),
        left: history.requests.values().filter(|request| request.disconnected_at.is_some()).count(),
        unserved: history
            .requests
            .values()
            .filter(|request| history.is_unserved(request.node, request.at))
            .count(),
        shut_unread: 0,
        breaks: Vec::new(),
    };
    let delay_slack = if plan.has_delays() { DELAY_SLACK_MS } else { 0.0 };
    for (id, request) in &history.requests {
        let attempts = history.attempts.get(id).map_or(&[][..], Vec::as_slice);
        answers::check_answered(&history, id, request, delay_slack, &mut verdict);
        answers::check_streamed_answer(&history, id, request, attempts, &mut verdict.breaks);
        answers::check_after_disconnect(&history, id, request, attempts, delay_slack, &mut verdict.breaks);
        attempts::check_deadline(&history, id, request, attempts, &mut verdict.breaks);
        attempts::check_duplicates(plan, id, request, attempts, &mut verdict.breaks);
        attempts::check_drain(plan, &history, id, request, attempts, &mut verdict.breaks);
    }
    budgets::check_retry_budget(&history, &mut verdict.breaks);
    budgets::check_cold_start(plan, &history, &mut verdict.breaks);
    answers::check_stalled_clients(&history, &mut verdict.breaks);
    operators::check_operators(&history, &mut verdict.breaks);
    verdict.breaks.extend(history.crashes);
    verdict.breaks.sort_by(|a, b| a.at.total_cmp(&b.at));
    verdict
}

#[cfg(test)]
mod tests;
