//! What is owed to clients: an answer in time, whole and not held back, or the end of the connection; and nothing once they have left.

use super::history::{Attempt, History, Request, Unanswered};
use super::{Break, DELAY_SLACK_MS, Rule, SLACK_MS, Verdict};
use crate::record::{AnswerEnd, ReplyEnd};

/// Later than its deadline by more than this an answer is lost.
const ANSWER_OVERDUE_MS: f64 = 500.0;
/// Behind so long a pause a server may be taken to give no more of an answer whose time is over.
const SERVER_SILENCE_MS: f64 = 300.0;
/// Nothing of an answer may be held back for so long.
const FORWARD_DELAY_LIMIT_MS: f64 = 2000.0;
/// No attempt may begin so long after its client has left.
const DISCONNECT_SLACK_MS: f64 = 100.0;
/// A client that stalls is owed an error or the end of its connection within this time.
const STALL_LIMIT_MS: f64 = 3000.0;

/// Holds a request against its due answer; one whose connection was shut unread in its time is counted.
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
        // What has been sent on to a server had been read, and did not cross the end of its connection.
        (_, Some(end), _) if has_close_raced(history, id, request, end) => {
            verdict.shut_unread += usize::from(request.new_connection);
        }
        (_, Some(end), _) if history.was_killed(request.node, request.at - SLACK_MS, end.at + SLACK_MS) => {}
        (_, Some(end), _) if is_shut_unread(history, id, request, end, delay_slack) => {
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

/// Did the end of its connection cross the request? A new one is only ended where clients fill the node's descriptors.
fn has_close_raced(history: &History, id: &str, request: &Request, end: Unanswered) -> bool {
    let may_end = !request.new_connection || history.has_full_descriptors(request.node, end.at);
    end.close_raced && may_end && !history.may_have_been_read(id, request, end.reset)
}

/// Did the node shut the connection in the request's time with nothing of it read? A new one, on which no request came before,
/// only where clients fill its descriptors.
fn is_shut_unread(history: &History, id: &str, request: &Request, end: Unanswered, delay_slack: f64) -> bool {
    let in_its_time = end.at
        <= history.due_while_running(request.node, request.at, request.deadline + SLACK_MS + delay_slack);
    let is_behind = request.pipeline.as_ref().is_some_and(|pipeline| pipeline.first != id);
    let may_be_shut =
        !request.new_connection || is_behind || history.has_full_descriptors(request.node, end.at);
    end.reset && in_its_time && may_be_shut && !history.may_have_been_read(id, request, true)
}

/// The end of an answer that is passed on before it is whole: not while its server gives, and soon behind that and its time.
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
    // What a client takes slowly has been cut off long before it sees that.
    let cut = reply.map_or(ended.at, |reply| reply.at.min(ended.at));
    let is_excused = history.has_ended(node, cut - DELAY_SLACK_MS, cut + DELAY_SLACK_MS)
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
            let gives = reply.end == ReplyEnd::NodeStoppedReading
                || reply.end == ReplyEnd::NodeClosed && reply.at < reply.last + SERVER_SILENCE_MS;
            // It may be broken off for the sake of a request behind it.
            if gives && !history.has_pending_behind(id, ended.at) {
                broken(format!(
                    "cut off {:.0} ms behind the last bytes of its server",
                    reply.at - reply.last
                ));
            }
        }
        (AnswerEnd::TimedOut, reply) if !ended.slow => {
            let given = reply.map_or(ended.last, |reply| reply.last.max(ended.last));
            let due =
                (request.at + request.deadline).max(given) + ANSWER_OVERDUE_MS + SLACK_MS + DELAY_SLACK_MS;
            if ended.at > due {
                broken(format!("held open {:.0} ms behind the last bytes of its server", ended.at - given));
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
