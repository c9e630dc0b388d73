//! What each attempt is held to: the time that its server is told, whether the request may run again, and servers that drain.

use super::history::{Attempt, Life, Records, Request};
use super::{Break, HELD_UP, Rule, SLACK};
use crate::discovery::cell_of;
use crate::plan::Plan;
use crate::record::{Effect, Standing};

pub(super) fn deadline(
    all: &Records,
    id: &str,
    request: &Request,
    attempts: &[Attempt],
    breaks: &mut Vec<Break>,
) {
    // What waited in a shared queue while its process was killed has the next one, which can't know since when.
    let served_by_next = |attempt: &&Attempt| all.was_killed(request.node, request.at, attempt.at);
    let known = attempts.iter().filter(|attempt| !served_by_next(attempt));
    for attempt in known.filter(|_| !all.is_unserved(request.node, request.at)) {
        let left = request.at + request.deadline - attempt.at;
        if attempt.told > left + HELD_UP + SLACK {
            let what =
                format!("request {id}: a server was told {:.0} ms, {left:.0} ms were left", attempt.told);
            breaks.push(Break { rule: Rule::Deadline, at: attempt.at, what });
        }
    }
}

pub(super) fn duplicate(
    plan: &Plan,
    id: &str,
    request: &Request,
    attempts: &[Attempt],
    breaks: &mut Vec<Break>,
) {
    for (place, attempt) in attempts.iter().enumerate().skip(1) {
        let Some(first) = attempts[..place].iter().find(|earlier| earlier.may_have_run(attempt.at)) else {
            continue;
        };
        let after = attempt.at - first.at;
        let problem = match request.effect {
            Effect::Idempotent => None,
            Effect::NonIdempotent => Some("again although it may have run"),
            Effect::Keyed if cell_of(first.server) != cell_of(attempt.server) => {
                Some("again in another group")
            }
            Effect::Keyed if after > plan.fleet.window + HELD_UP + SLACK => Some("again behind its window"),
            Effect::Keyed => None,
        };
        if let Some(problem) = problem {
            let servers = (first.server, attempt.server);
            let what = format!(
                "request {id} ({:?}): {problem}, {after:.0} ms after, servers {servers:?}",
                request.effect
            );
            breaks.push(Break { rule: Rule::Duplicate, at: attempt.at, what });
        }
    }
}

pub(super) fn drain(
    plan: &Plan,
    all: &Records,
    id: &str,
    request: &Request,
    attempts: &[Attempt],
    breaks: &mut Vec<Break>,
) {
    for attempt in attempts {
        let earlier =
            all.changes.iter().filter(|(_, server, _, at)| *server == attempt.server && *at < attempt.at);
        // The first change since which it has not been ready.
        let since = earlier.fold(None, |since, (version, _, standing, at)| match standing {
            Standing::Ready => None,
            _ => since.or(Some((*version, *at))),
        });
        let Some((version, changed)) = since else { continue };
        let grace = all.grace(&plan.fleet, request.node, attempt.at) + SLACK;
        let alive = |life: &&Life| {
            life.node == request.node && life.start < attempt.at && attempt.at < life.end + HELD_UP
        };
        let told =
            all.lives.iter().filter(alive).map(|life| all.told_at(life, version, changed, plan.fleet.pushed));
        let told = told.fold(f64::NEG_INFINITY, f64::max);
        if attempt.at > told + grace {
            let what = format!(
                "request {id} of node {}: sent to server {} {:.0} ms after its drain counted as told, grace {grace:.0} ms \
                 ({:.0} ms after the drain)",
                request.node,
                attempt.server,
                attempt.at - told,
                attempt.at - changed
            );
            breaks.push(Break { rule: Rule::Drain, at: attempt.at, what });
        }
    }
}
