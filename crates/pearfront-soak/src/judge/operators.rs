//! Rules on operators' calls: their answers, and what `GET /up` and clients' connections show after them.

use super::history::{History, UpAnswer};
use super::{Break, DELAY_SLACK_MS, Rule, SLACK_MS};
use crate::record::OperatorCall;

/// Time within which a node answers an operator's call, however busy it is.
const CALL_TIMEOUT_MS: f64 = 1000.0;
/// Time after the call by which a draining node says not ready and has released its clients' connections.
const NOT_READY_DUE_MS: f64 = 4000.0;
/// How long before that the last requests may come on a connection.
const LAST_REQUESTS_MS: f64 = 2000.0;
/// Time after the end of a drain by which a node says ready.
const READY_DUE_MS: f64 = 2000.0;
/// The status that says ready, and that accepts a call.
const READY_STATUS: u16 = 200;

pub(super) fn check_operators(history: &History, breaks: &mut Vec<Break>) {
    check_calls(history, breaks);
    check_drained(history, breaks);
    check_connections_released(history, breaks);
    check_ready_again(history, breaks);
}

/// Checks that a running process accepts each call in time; one that was sent SIGTERM may refuse to end a drain.
fn check_calls(history: &History, breaks: &mut Vec<Break>) {
    for call in &history.operator_calls {
        let due = history.due_while_running(call.node, call.at, CALL_TIMEOUT_MS);
        let was_paused = history.paused_ms(call.node, call.at, due) > 0.0;
        if was_paused || !history.is_running(call.process, call.at, due) {
            continue;
        }
        let is_accepted = call.status.is_some_and(|status| (200..300).contains(&status));
        let may_refuse = call.call == OperatorCall::DrainOff
            && history.had_sigterm(call.process, call.at + CALL_TIMEOUT_MS);
        let is_refused_as_due = may_refuse && call.status.is_some();
        if !is_accepted && !is_refused_as_due {
            let description =
                format!("node {}: {:?} was answered with {:?}", call.node, call.call, call.status);
            breaks.push(Break { rule: Rule::Operators, at: call.at, description });
        }
    }
}

/// The calls that a process accepted, in order, and until when each is in force: node, process, from, to.
fn effective_calls(
    history: &History,
    call: OperatorCall,
) -> impl Iterator<Item = (usize, u32, f64, f64)> + '_ {
    let accepted = history
        .operator_calls
        .iter()
        .filter(move |other| other.call == call && other.status == Some(READY_STATUS));
    accepted.map(|call| {
        let next =
            history.operator_calls.iter().find(|other| other.process == call.process && other.at > call.at);
        (call.node, call.process, call.at, next.map_or(f64::INFINITY, |next| next.at))
    })
}

/// The answers of a process to `GET /up` in that time, where no other process of its node can have given them.
fn up_answers_of<'a>(
    history: &'a History,
    process: u32,
    from: f64,
    to: f64,
) -> impl Iterator<Item = &'a UpAnswer> + use<'a> {
    let answers = history.up_answers.iter().filter(move |up| up.process == process);
    answers.filter(move |up| (from..to).contains(&up.at) && history.is_only_process(up.node, process, up.at))
}

fn check_drained(history: &History, breaks: &mut Vec<Break>) {
    for (node, process, from, to) in effective_calls(history, OperatorCall::DrainOn) {
        let due = history.due_while_running(node, from, NOT_READY_DUE_MS);
        for up in up_answers_of(history, process, due, to).filter(|up| up.status == Some(READY_STATUS)) {
            let description =
                format!("node {node}: says yes {:.0} ms after it was told to drain", up.at - from);
            breaks.push(Break { rule: Rule::Lost, at: up.at, description });
        }
    }
}

/// Checks that at that time a draining node holds no idle connection of a client, and none with a request that came in the
/// last 2 s.
fn check_connections_released(history: &History, breaks: &mut Vec<Break>) {
    for (node, process, from, to) in effective_calls(history, OperatorCall::DrainOn) {
        let due = history.due_while_running(node, from, NOT_READY_DUE_MS) + SLACK_MS + DELAY_SLACK_MS;
        if due >= to
            || !history.is_only_process(node, process, due)
            || !history.is_only_process(node, process, from)
        {
            continue;
        }
        let idle = history.idle.iter().filter(|idle| idle.process == process && (due..to).contains(&idle.at));
        for idle in idle.filter(|idle| idle.node == node && idle.open > 0) {
            let description =
                format!("node {node} drains, and holds {} idle connections of a client", idle.open);
            breaks.push(Break { rule: Rule::Lost, at: idle.at, description });
        }
        for (id, request) in history.requests.iter().filter(|(_, request)| request.node == node) {
            let is_recent = (due - LAST_REQUESTS_MS..due - SLACK_MS).contains(&request.began);
            if is_recent && !request.new_connection && request.pipeline.is_none() && request.is_open(due) {
                let description = format!("node {node} drains, and holds the connection of request {id}");
                breaks.push(Break { rule: Rule::Lost, at: due, description });
            }
        }
    }
}

fn check_ready_again(history: &History, breaks: &mut Vec<Break>) {
    for (node, process, from, to) in effective_calls(history, OperatorCall::DrainOff) {
        let due = history.due_while_running(node, from, READY_DUE_MS + DELAY_SLACK_MS + SLACK_MS);
        let is_excused = !history.is_running(process, from, due)
            || history.had_sigterm(process, due)
            || history.has_full_descriptors(node, due)
            || due > to;
        let mut answers = up_answers_of(history, process, from, due).peekable();
        if is_excused || answers.peek().is_none() || answers.any(|up| up.status == Some(READY_STATUS)) {
            continue;
        }
        let description = format!("node {node}: no yes within {READY_DUE_MS} ms of the end of its drain");
        breaks.push(Break { rule: Rule::Operators, at: due, description });
    }
}
