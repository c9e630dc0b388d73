//! The oracle: checks the records of the clients, the servers, discovery and the relay against the rules. Nothing that a node
//! reports about itself counts. Times are ms. Used by `pearfront soak`.

mod answers;
mod attempts;
mod budgets;
mod history;
mod operators;

use crate::plan::Plan;
use crate::record::Record;
use history::History;

/// A change of the list counts as known to a node this long after discovery had it and could be reached, whatever became of
/// the calls.
const LIST_PROPAGATION_MS: f64 = 6000.0;
/// Tolerance for times that are measured in two processes.
const SLACK_MS: f64 = 50.0;
/// How long a process may be delayed between reading its clock and writing.
const DELAY_SLACK_MS: f64 = 150.0;
/// How long after its start a process serves.
const STARTUP_MS: f64 = 300.0;
/// How late discovery may record the end of a connection.
const WATCH_CLOSE_LAG_MS: f64 = 200.0;

/// The rules that a run is checked against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request is answered in time, whole, or its connection is closed as it may be.
    Lost,
    /// A request runs again only where its effect allows it.
    Duplicate,
    /// No attempt goes to a draining server after the drain grace.
    Drain,
    /// A server that comes back cold is not overloaded.
    Failback,
    /// Retries stay within their budget.
    Budget,
    /// No server is told more time than is left.
    Deadline,
    /// A node does what operators call for.
    Operators,
    /// No process of a node ends by itself.
    Crash,
    /// The processes of a node stay within its memory limit.
    Memory,
}

/// One break of a rule.
#[derive(Debug, Clone)]
pub struct Break {
    pub rule: Rule,
    pub at: f64,
    pub description: String,
}

/// The result of a run: counts and broken rules.
#[derive(Debug, Default)]
pub struct Verdict {
    pub breaks: Vec<Break>,
    pub requests: usize,
    pub attempts: usize,
    pub served: usize,
    pub refused: usize,
    /// Requests whose client disconnected.
    pub left: usize,
    /// Requests that came while no process of their node served; they are not judged.
    pub unserved: usize,
    /// Requests whose connection the node closed before their deadline without reading any of them.
    pub shut_unread: usize,
}

/// Checks the records of a run against the rules.
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
    budgets::check_memory(plan, records, &mut verdict.breaks);
    verdict.breaks.extend(history.crashes);
    verdict.breaks.sort_by(|a, b| a.at.total_cmp(&b.at));
    verdict
}

#[cfg(test)]
mod tests;
