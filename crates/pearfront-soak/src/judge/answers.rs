//! Rules on answers to clients: each request gets an answer in time, whole and without needless delay, or the end of its
//! connection where that is allowed; no attempt begins after the client has disconnected.

use super::history::{Attempt, History, Request, Unanswered};
use super::{Break, DELAY_SLACK_MS, Rule, SLACK_MS, Verdict};
use crate::record::{AnswerEnd, ReplyEnd};

/// An answer that is later than its deadline by more than this counts as lost.
const ANSWER_OVERDUE_MS: f64 = 500.0;
/// An answer that its server sends no more of is broken off within this time, and not before this much of it has passed.
const SERVER_SILENCE_MS: f64 = 15_000.0;
const MIN_SERVER_SILENCE_MS: f64 = 300.0;
/// Most time that a node may take to forward the end of an answer.
const FORWARD_DELAY_LIMIT_MS: f64 = 2000.0;
/// How long after its client has disconnected an attempt may still begin.
const DISCONNECT_SLACK_MS: f64 = 100.0;
/// A client that stalls in a request gets an error or the end of its connection within this time.
const STALL_LIMIT_MS: f64 = 3000.0;

/// Checks that a request was answered in time; counts those whose connection was closed unread before their deadline.
pub(super) fn check_answered(
    history: &History,
    id: &str,
    request: &Request,
    delay_slack: f64,
    verdict: &mut Verdict,
) {
    let due = history.due_while_running(request.node, request.at, request.deadline + ANSWER_OVERDUE_MS);
    if history.is_unserved(request.node, request.at) {
        return;
    }
    let mut broken = |at: f64, description: String| {
        let is_behind = request.pipeline.as_ref().is_some_and(|pipeline| pipeline.first != id);
        let place = if is_behind { ", behind another" } else { "" };
        let description = format!(
            "request {id} of node {}, {:.0} ms to wait{place}: {description}",
            request.node, request.deadline
        );
        verdict.breaks.push(Break { rule: Rule::Lost, at, description });
    };
    match (request.answer, request.unanswered, request.disconnected_at) {
        (Some((at, _)), ..) if at > due => broken(at, format!("answered {:.0} ms after it", at - request.at)),
        (Some(_), ..) | (_, _, Some(_)) => {}
        // A request that was forwarded to a server had been read, so the close of its connection did not race with it.
        (_, Some(end), _) if has_close_raced(history, id, request, end) => {
            verdict.shut_unread += usize::from(request.new_connection);
        }
        (_, Some(end), _) if history.was_killed(request.node, request.at - SLACK_MS, end.at + SLACK_MS) => {}
        (_, Some(end), _) if was_closed_unread(history, id, request, end, delay_slack) => {
            verdict.shut_unread += 1
        }
        (_, Some(end), _) => {
            let how = if end.reset { "reset" } else { "ended" };
            let after = end.at - request.at;
            broken(end.at, format!("its connection was {how} without an answer after {after:.0} ms"));
        }
        _ if due + ANSWER_OVERDUE_MS > history.end
            || history.was_killed(request.node, request.at - SLACK_MS, due) => {}
        _ => broken(due, "no answer".into()),
    }
}

/// Whether the close of the connection raced with the request. A node closes a new connection only where clients use up its
/// descriptors.
fn has_close_raced(history: &History, id: &str, request: &Request, end: Unanswered) -> bool {
    let may_end = !request.new_connection || history.has_full_descriptors(request.node, end.at);
    end.close_raced && may_end && !history.may_have_been_read(id, request, end.reset)
}

/// Whether the node closed the connection before the request's deadline without reading any of it. It may close a new
/// connection, on which no request came before, only where clients use up its descriptors.
fn was_closed_unread(
    history: &History,
    id: &str,
    request: &Request,
    end: Unanswered,
    delay_slack: f64,
) -> bool {
    let within_deadline = end.at
        <= history.due_while_running(request.node, request.at, request.deadline + SLACK_MS + delay_slack);
    let is_behind = request.pipeline.as_ref().is_some_and(|pipeline| pipeline.first != id);
    let may_be_closed =
        !request.new_connection || is_behind || history.has_full_descriptors(request.node, end.at);
    end.reset && within_deadline && may_be_closed && !history.may_have_been_read(id, request, true)
}

/// Checks the end of a streamed answer: the node must not end it while the server is sending, however long that pauses, and
/// must end it within a bounded time if the server sends no more.
pub(super) fn check_streamed_answer(
    history: &History,
    id: &str,
    request: &Request,
    attempts: &[Attempt],
    breaks: &mut Vec<Break>,
) {
    let Some(ended) = request.ended else { return };
    let node = request.node;
    let reply = attempts.iter().filter_map(|attempt| attempt.ended).max_by(|a, b| a.at.total_cmp(&b.at));
    // A client that reads slowly sees that an answer was truncated long after the node did it.
    let ended_at = reply.map_or(ended.at, |reply| reply.at.min(ended.at));
    let is_excused = history.is_killed(node, ended_at - DELAY_SLACK_MS, ended_at + DELAY_SLACK_MS)
        || history.paused_ms(node, request.at, ended.at) > 0.0;
    if is_excused || history.is_unserved(node, request.at) {
        return;
    }
    let mut broken = |description: String| {
        let description =
            format!("request {id} of node {node}, {:.0} ms to wait: {description}", request.deadline);
        breaks.push(Break { rule: Rule::Lost, at: ended.at, description });
    };
    match (ended.end, reply) {
        (AnswerEnd::Truncated, Some(reply)) => {
            let server_sends = reply.end == ReplyEnd::NodeStoppedReading
                || reply.end == ReplyEnd::NodeClosed && reply.at < reply.last + MIN_SERVER_SILENCE_MS;
            // It may be truncated for the sake of a request that is pipelined behind it.
            if server_sends && !history.has_pending_behind(id, ended.at) {
                broken(format!(
                    "cut off {:.0} ms behind the last bytes of its server",
                    reply.at - reply.last
                ));
            }
        }
        (AnswerEnd::TimedOut, reply) if !ended.slow => {
            let last_bytes = reply.map_or(ended.last, |reply| reply.last.max(ended.last));
            let due = last_bytes + SERVER_SILENCE_MS + SLACK_MS + DELAY_SLACK_MS;
            if ended.at > due {
                broken(format!(
                    "held open {:.0} ms behind the last bytes of its server",
                    ended.at - last_bytes
                ));
            }
        }
        (AnswerEnd::Complete, Some(reply))
            if !ended.slow
                && reply.end == ReplyEnd::Complete
                && ended.at > reply.last + FORWARD_DELAY_LIMIT_MS =>
        {
            broken(format!("held back for {:.0} ms", ended.at - reply.last));
        }
        _ => {}
    }
}

pub(super) fn check_after_disconnect(
    history: &History,
    id: &str,
    request: &Request,
    attempts: &[Attempt],
    delay_slack: f64,
    breaks: &mut Vec<Break>,
) {
    let Some(disconnected_at) = request.disconnected_at else { return };
    let last_start = disconnected_at + DISCONNECT_SLACK_MS + SLACK_MS + delay_slack;
    for attempt in attempts.iter().filter(|attempt| attempt.at > last_start) {
        if history.paused_ms(request.node, disconnected_at - SLACK_MS, attempt.at) > 0.0
            && attempt.at < last_start + DELAY_SLACK_MS
        {
            continue;
        }
        let description =
            format!("request {id}: attempt {:.0} ms after its client left", attempt.at - disconnected_at);
        breaks.push(Break { rule: Rule::Lost, at: attempt.at, description });
    }
}

pub(super) fn check_stalled_clients(history: &History, breaks: &mut Vec<Break>) {
    for (node, at, ended) in &history.stalled {
        let due = history.due_while_running(*node, *at, STALL_LIMIT_MS + SLACK_MS + DELAY_SLACK_MS);
        if ended.unwrap_or(f64::INFINITY) > due {
            let description =
                format!("node {node}: a client that stalled was neither answered nor closed within 3 s");
            breaks.push(Break { rule: Rule::Lost, at: due, description });
        }
    }
}
