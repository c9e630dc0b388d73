//! Rules on attempts: the remaining time that the server is told, whether the request may run again, and draining servers.

use super::history::{Attempt, History, ProcessLifetime, Request};
use super::{Break, DELAY_SLACK_MS, Rule, SLACK_MS};
use crate::discovery::cell_of;
use crate::plan::Plan;
use crate::record::{Effect, Lifecycle};

pub(super) fn check_deadline(
    history: &History,
    id: &str,
    request: &Request,
    attempts: &[Attempt],
    breaks: &mut Vec<Break>,
) {
    // A request that waited in a shared listener's backlog while its process was killed goes to the next process, which can't know
    // how long it has waited.
    let served_by_next = |attempt: &&Attempt| history.was_killed(request.node, request.at, attempt.at);
    let known = attempts.iter().filter(|attempt| !served_by_next(attempt));
    for attempt in known.filter(|_| !history.is_unserved(request.node, request.at)) {
        let left = request.at + request.deadline - attempt.at;
        if attempt.deadline_sent > left + DELAY_SLACK_MS + SLACK_MS {
            let description = format!(
                "request {id}: a server was told {:.0} ms, {left:.0} ms were left",
                attempt.deadline_sent
            );
            breaks.push(Break { rule: Rule::Deadline, at: attempt.at, description });
        }
    }
}

pub(super) fn check_duplicates(
    plan: &Plan,
    id: &str,
    request: &Request,
    attempts: &[Attempt],
    breaks: &mut Vec<Break>,
) {
    for (index, attempt) in attempts.iter().enumerate().skip(1) {
        let Some(earlier) = attempts[..index].iter().find(|other| other.may_have_run(attempt.at)) else {
            continue;
        };
        let after = attempt.at - earlier.at;
        let problem = match request.effect {
            Effect::Idempotent => None,
            Effect::NonIdempotent => Some("again although it may have run"),
            Effect::Keyed if cell_of(earlier.server) != cell_of(attempt.server) => {
                Some("again in another group")
            }
            Effect::Keyed if after > plan.fleet.dedup_window + DELAY_SLACK_MS + SLACK_MS => {
                Some("again behind its window")
            }
            Effect::Keyed => None,
        };
        if let Some(problem) = problem {
            let servers = (earlier.server, attempt.server);
            let description = format!(
                "request {id} ({:?}): {problem}, {after:.0} ms after, servers {servers:?}",
                request.effect
            );
            breaks.push(Break { rule: Rule::Duplicate, at: attempt.at, description });
        }
    }
}

pub(super) fn check_drain(
    plan: &Plan,
    history: &History,
    id: &str,
    request: &Request,
    attempts: &[Attempt],
    breaks: &mut Vec<Break>,
) {
    for attempt in attempts {
        let earlier =
            history.changes.iter().filter(|(_, server, _, at)| *server == attempt.server && *at < attempt.at);
        // The first change since which the server has not been ready.
        let since = earlier.fold(None, |since, (version, _, lifecycle, at)| match lifecycle {
            Lifecycle::Ready => None,
            _ => since.or(Some((*version, *at))),
        });
        let Some((version, changed)) = since else { continue };
        let grace = history.drain_grace(&plan.fleet, request.node, attempt.at) + SLACK_MS;
        let is_alive = |lifetime: &&ProcessLifetime| {
            lifetime.node == request.node
                && lifetime.start < attempt.at
                && attempt.at < lifetime.end + DELAY_SLACK_MS
        };
        let known = history
            .lifetimes
            .iter()
            .filter(is_alive)
            .map(|lifetime| history.known_at(lifetime, version, changed, plan.fleet.pushed));
        let known = known.fold(f64::NEG_INFINITY, f64::max);
        if attempt.at > known + grace {
            let description = format!(
                "request {id} of node {}: sent to server {} {:.0} ms after its drain counted as told, grace {grace:.0} ms \
                 ({:.0} ms after the drain)",
                request.node,
                attempt.server,
                attempt.at - known,
                attempt.at - changed
            );
            breaks.push(Break { rule: Rule::Drain, at: attempt.at, description });
        }
    }
}
