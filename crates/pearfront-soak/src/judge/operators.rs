//! Operators' calls, and what a node says at `GET /up` behind them.

use super::history::{Records, UpAnswer};
use super::{Break, HELD_UP, Rule, SLACK};
use crate::record::OperatorCall;

/// An operator waits so long for an answer, however busy the node is.
const ANSWERED_WITHIN: f64 = 1000.0;
/// So long after the call a node that drains says no.
const NO_DUE: f64 = 4000.0;
/// The last requests may come on a connection so long before.
const REQUESTS_END: f64 = 2000.0;
/// So long after the end of a drain it says yes.
const YES_DUE: f64 = 2000.0;
/// The status of a yes.
const YES: u16 = 200;

pub(super) fn operators(all: &Records, breaks: &mut Vec<Break>) {
    calls(all, breaks);
    drained_in_time(all, breaks);
    let_go_in_time(all, breaks);
    taken_back_in_time(all, breaks);
}

/// Each call to a process that runs gets its yes in time; one that ends says no to the end of a drain.
fn calls(all: &Records, breaks: &mut Vec<Break>) {
    for call in &all.operator_calls {
        let due = all.after_running(call.node, call.at, ANSWERED_WITHIN);
        let stood_still = all.stopped(call.node, call.at, due) > 0.0;
        if stood_still || !all.runs(call.process, call.at, due) {
            continue;
        }
        let is_yes = call.status.is_some_and(|status| (200..300).contains(&status));
        let may_refuse =
            call.call == OperatorCall::DrainOff && all.told_to_end(call.process, call.at + ANSWERED_WITHIN);
        let is_refused_as_due = may_refuse && call.status.is_some();
        if !is_yes && !is_refused_as_due {
            let what = format!("node {}: {:?} was answered with {:?}", call.node, call.call, call.status);
            breaks.push(Break { rule: Rule::Operators, at: call.at, what });
        }
    }
}

/// Calls to a process that said yes to them, in their order, and until when each holds.
fn in_force(all: &Records, call: OperatorCall) -> impl Iterator<Item = (usize, u32, f64, f64)> + '_ {
    let wanted =
        all.operator_calls.iter().filter(move |other| other.call == call && other.status == Some(YES));
    wanted.map(|call| {
        let next =
            all.operator_calls.iter().find(|other| other.process == call.process && other.at > call.at);
        (call.node, call.process, call.at, next.map_or(f64::INFINITY, |next| next.at))
    })
}

/// What the process said of itself in that time, if no other process of its node can have said it.
fn said<'a>(
    all: &'a Records,
    process: u32,
    from: f64,
    to: f64,
) -> impl Iterator<Item = &'a UpAnswer> + use<'a> {
    let answers = all.up_answers.iter().filter(move |up| up.process == process);
    answers.filter(move |up| (from..to).contains(&up.at) && all.is_alone(up.node, process, up.at))
}

fn drained_in_time(all: &Records, breaks: &mut Vec<Break>) {
    for (node, process, from, to) in in_force(all, OperatorCall::DrainOn) {
        let due = all.after_running(node, from, NO_DUE);
        for up in said(all, process, due, to).filter(|up| up.status == Some(YES)) {
            let what = format!("node {node}: says yes {:.0} ms after it was told to drain", up.at - from);
            breaks.push(Break { rule: Rule::Lost, at: up.at, what });
        }
    }
}

/// Behind that time no client's connection is held idle, or with a request that came on it in the last 2 s.
fn let_go_in_time(all: &Records, breaks: &mut Vec<Break>) {
    for (node, process, from, to) in in_force(all, OperatorCall::DrainOn) {
        let due = all.after_running(node, from, NO_DUE) + SLACK + HELD_UP;
        if due >= to || !all.is_alone(node, process, due) || !all.is_alone(node, process, from) {
            continue;
        }
        let idle = all.idle.iter().filter(|idle| idle.process == process && (due..to).contains(&idle.at));
        for idle in idle.filter(|idle| idle.node == node && idle.open > 0) {
            let what = format!("node {node} drains, and holds {} idle connections of a client", idle.open);
            breaks.push(Break { rule: Rule::Lost, at: idle.at, what });
        }
        for (id, request) in all.requests.iter().filter(|(_, request)| request.node == node) {
            let came_late = (due - REQUESTS_END..due - SLACK).contains(&request.began);
            if came_late && !request.fresh && request.line.is_none() && request.is_open(due) {
                let what = format!("node {node} drains, and holds the connection of request {id}");
                breaks.push(Break { rule: Rule::Lost, at: due, what });
            }
        }
    }
}

fn taken_back_in_time(all: &Records, breaks: &mut Vec<Break>) {
    for (node, process, from, to) in in_force(all, OperatorCall::DrainOff) {
        let due = all.after_running(node, from, YES_DUE + HELD_UP + SLACK);
        let is_excused = !all.runs(process, from, due)
            || all.told_to_end(process, due)
            || all.is_crowded(node, due)
            || due > to;
        let mut answers = said(all, process, from, due).peekable();
        if is_excused || answers.peek().is_none() || answers.any(|up| up.status == Some(YES)) {
            continue;
        }
        let what = format!("node {node}: no yes within {YES_DUE} ms of the end of its drain");
        breaks.push(Break { rule: Rule::Operators, at: due, what });
    }
}
