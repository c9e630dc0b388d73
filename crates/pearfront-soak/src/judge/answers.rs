//! What is owed to clients: an answer in time, whole and not held back, or the end of the connection; and nothing once they have left.

use super::history::{Attempt, Records, Request, Unanswered};
use super::{Break, HELD_UP, Rule, SLACK, Verdict};
use crate::record::{AnswerEnd, ReplyEnd};

/// Later than its deadline by more than this an answer is lost.
const LOST_AFTER: f64 = 500.0;
/// Behind so long a pause a server may be taken to give no more of an answer whose time is over.
const STILL_GIVES: f64 = 300.0;
/// Nothing of an answer may be held back for so long.
const HELD_BACK: f64 = 2000.0;
/// No attempt may begin so long after its client has left.
const LEFT_SLACK: f64 = 100.0;
/// A client that stalls is owed an error or the end of its connection within this time.
const STALLED: f64 = 3000.0;

/// Holds a request against its due answer; one whose connection was shut unread in its time is counted.
pub(super) fn lost(all: &Records, id: &str, request: &Request, held_up: f64, verdict: &mut Verdict) {
    let due = all.after_running(request.node, request.at, request.deadline + LOST_AFTER);
    if all.is_unserved(request.node, request.at) {
        return;
    }
    let mut broken = |at: f64, what: String| {
        let is_behind = request.line.as_ref().is_some_and(|line| line.first != id);
        let place = if is_behind { ", behind another" } else { "" };
        let what = format!(
            "request {id} of node {}, {:.0} ms to wait{place}: {what}",
            request.node, request.deadline
        );
        verdict.breaks.push(Break { rule: Rule::Lost, at, what });
    };
    match (request.answer, request.unanswered, request.left) {
        (Some((at, _)), ..) if at > due => broken(at, format!("answered {:.0} ms after it", at - request.at)),
        (Some(_), ..) | (_, _, Some(_)) => {}
        // What has been sent on to a server had been read, and did not cross the end of its connection.
        (_, Some(end), _) if is_crossed(all, id, request, end) => {
            verdict.shut_unread += usize::from(request.fresh);
        }
        (_, Some(end), _) if all.was_killed(request.node, request.at - SLACK, end.at + SLACK) => {}
        (_, Some(end), _) if is_shut_unread(all, id, request, end, held_up) => verdict.shut_unread += 1,
        (_, Some(end), _) => {
            let how = if end.reset { "reset" } else { "ended" };
            let after = end.at - request.at;
            broken(end.at, format!("its connection was {how} without an answer after {after:.0} ms"));
        }
        _ if due + LOST_AFTER > all.end || all.was_killed(request.node, request.at - SLACK, due) => {}
        _ => broken(due, "no answer".into()),
    }
}

/// Did the end of its connection cross the request? A new one is only ended where clients fill the node's descriptors.
fn is_crossed(all: &Records, id: &str, request: &Request, end: Unanswered) -> bool {
    let may_end = !request.fresh || all.is_crowded(request.node, end.at);
    end.crossed && may_end && !all.is_read(id, request, end.reset)
}

/// Did the node shut the connection in the request's time with nothing of it read? A new one, on which no request came before,
/// only where clients fill its descriptors.
fn is_shut_unread(all: &Records, id: &str, request: &Request, end: Unanswered, held_up: f64) -> bool {
    let in_its_time =
        end.at <= all.after_running(request.node, request.at, request.deadline + SLACK + held_up);
    let is_behind = request.line.as_ref().is_some_and(|line| line.first != id);
    let may_be_shut = !request.fresh || is_behind || all.is_crowded(request.node, end.at);
    end.reset && in_its_time && may_be_shut && !all.is_read(id, request, true)
}

/// The end of an answer that is passed on before it is whole: not while its server gives, and soon behind that and its time.
pub(super) fn flow(
    all: &Records,
    id: &str,
    request: &Request,
    attempts: &[Attempt],
    breaks: &mut Vec<Break>,
) {
    let Some(ended) = request.ended else { return };
    let node = request.node;
    let reply = attempts.iter().filter_map(|attempt| attempt.ended).max_by(|a, b| a.at.total_cmp(&b.at));
    // What a client takes slowly has been cut off long before it sees that.
    let cut = reply.map_or(ended.at, |reply| reply.at.min(ended.at));
    let is_excused =
        all.has_ended(node, cut - HELD_UP, cut + HELD_UP) || all.stopped(node, request.at, ended.at) > 0.0;
    if is_excused || all.is_unserved(node, request.at) {
        return;
    }
    let mut broken = |what: String| {
        let what = format!("request {id} of node {node}, {:.0} ms to wait: {what}", request.deadline);
        breaks.push(Break { rule: Rule::Lost, at: ended.at, what });
    };
    match (ended.end, reply) {
        (AnswerEnd::Broken, Some(reply)) => {
            let gives = reply.end == ReplyEnd::CutByNode
                || reply.end == ReplyEnd::LeftByNode && reply.at < reply.last + STILL_GIVES;
            // It may be broken off for the sake of a request behind it.
            if gives && !all.has_due_behind(id, ended.at) {
                broken(format!(
                    "cut off {:.0} ms behind the last bytes of its server",
                    reply.at - reply.last
                ));
            }
        }
        (AnswerEnd::GivenUp, reply) if !ended.slow => {
            let given = reply.map_or(ended.last, |reply| reply.last.max(ended.last));
            let due = (request.at + request.deadline).max(given) + LOST_AFTER + SLACK + HELD_UP;
            if ended.at > due {
                broken(format!("held open {:.0} ms behind the last bytes of its server", ended.at - given));
            }
        }
        (AnswerEnd::Whole, Some(reply))
            if !ended.slow && reply.end == ReplyEnd::Whole && ended.at > reply.last + HELD_BACK =>
        {
            broken(format!("held back for {:.0} ms", ended.at - reply.last));
        }
        _ => {}
    }
}

pub(super) fn left(
    all: &Records,
    id: &str,
    request: &Request,
    attempts: &[Attempt],
    held_up: f64,
    breaks: &mut Vec<Break>,
) {
    let Some(left) = request.left else { return };
    let over = left + LEFT_SLACK + SLACK + held_up;
    for attempt in attempts.iter().filter(|attempt| attempt.at > over) {
        if all.stopped(request.node, left - SLACK, attempt.at) > 0.0 && attempt.at < over + HELD_UP {
            continue;
        }
        let what = format!("request {id}: attempt {:.0} ms after its client left", attempt.at - left);
        breaks.push(Break { rule: Rule::Lost, at: attempt.at, what });
    }
}

pub(super) fn stalled(all: &Records, breaks: &mut Vec<Break>) {
    for (node, at, ended) in &all.stalled {
        let due = all.after_running(*node, *at, STALLED + SLACK + HELD_UP);
        if ended.unwrap_or(f64::INFINITY) > due {
            let what =
                format!("node {node}: a client that stalled was neither answered nor closed within 3 s");
            breaks.push(Break { rule: Rule::Lost, at: due, what });
        }
    }
}
