//! The rules on the end of an answer that is passed on before it is whole.

use super::*;
use crate::plan::KILL_AFTER;
use crate::record::{AnswerEnd, Effect, Line, OperatorCall, ReplyEnd};
use test_case::test_case;

const ID: &str = "a request";

/// What a client sees: at 100 ms it sends a request with 600 ms to wait, at 200 ms its answer begins.
fn breaks(end: AnswerEnd, at: f64, client_last: f64, reply: (ReplyEnd, f64, f64)) -> Vec<Break> {
    let plan = Plan::draw(1, 20_000.0);
    let (reply_end, reply_at, reply_last) = reply;
    let id = || ID.to_string();
    let records = [
        Record::Start { node: 0, process: 1, caller: 0, at: -1000.0 },
        Record::Request {
            id: id(),
            node: 0,
            effect: Effect::Idempotent,
            began: 100.0,
            at: 100.0,
            deadline: 600.0,
            fresh: true,
            line: None,
        },
        Record::Attempt { id: id(), server: 0, at: 110.0, told: 590.0 },
        Record::Answer { id: id(), at: 200.0, status: 200 },
        Record::ReplyEnded { id: id(), server: 0, at: reply_at, end: reply_end, last: reply_last },
        Record::AnswerEnded { id: id(), at, end, last: client_last, slow: false },
    ];
    judge(&plan, &records).breaks
}

#[test_case(AnswerEnd::Whole, 900.0, (ReplyEnd::Whole, 890.0, 890.0), None; "whole")]
#[test_case(AnswerEnd::Whole, 3000.0, (ReplyEnd::Whole, 890.0, 890.0), Some("held back"); "whole, and held back")]
#[test_case(AnswerEnd::Broken, 1100.0, (ReplyEnd::LeftByNode, 1100.0, 700.0), None; "its server gave nothing more")]
#[test_case(AnswerEnd::Broken, 900.0, (ReplyEnd::LeftByNode, 900.0, 700.0), Some("cut off"); "cut off in a pause")]
#[test_case(AnswerEnd::Broken, 900.0, (ReplyEnd::CutByNode, 900.0, 500.0), Some("cut off"); "cut off with more to come")]
#[test_case(AnswerEnd::Broken, 900.0, (ReplyEnd::ServerBroke, 900.0, 899.0), None; "its server broke")]
#[test_case(AnswerEnd::GivenUp, 4000.0, (ReplyEnd::LeftByNode, 4000.0, 400.0), Some("held open"); "held open")]
#[test_case(AnswerEnd::GivenUp, 4000.0, (ReplyEnd::LeftByNode, 4000.0, 3900.0), None; "its server still gives")]
fn an_answer_ends_as_it_should(end: AnswerEnd, at: f64, reply: (ReplyEnd, f64, f64), wanted: Option<&str>) {
    let found = breaks(end, at, reply.2, reply);
    let words: Vec<&str> = found.iter().map(|broken| broken.what.as_str()).collect();
    match wanted {
        None => assert!(words.is_empty(), "{words:?}"),
        Some(word) => assert!(words.len() == 1 && words[0].contains(word), "{words:?}"),
    }
}

// What a kill finds that came when a process had had all its time is lost; one in the middle of that, or with no word before,
// is no fault of it.
#[test_case(Some(0.0), true; "behind all its time")]
#[test_case(Some(4000.0), false; "in the middle of it")]
#[test_case(None, false; "with no word before")]
fn what_a_kill_finds_unanswered_is_lost_behind_all_the_time(told: Option<f64>, is_lost: bool) {
    let plan = Plan::draw(1, 20_000.0);
    let kill = plan.fleet.deadlines.1 + KILL_AFTER + 10.0;
    let mut records = vec![Record::Start { node: 0, process: 1, caller: 0, at: -1000.0 }];
    records.extend(told.map(|at| Record::Term { node: 0, process: 1, at: at.min(kill - 10.0) }));
    let (id, effect) = (ID.to_string(), Effect::Keyed);
    records.push(Record::Request {
        id,
        node: 0,
        effect,
        began: kill - 300.0,
        at: kill - 300.0,
        deadline: 600.0,
        fresh: false,
        line: None,
    });
    records.push(Record::Kill { node: 0, process: 1, at: kill });
    records.push(Record::Unanswered { id: ID.to_string(), at: kill + 1.0, crossed: false, reset: false });
    assert_eq!(judge(&plan, &records).breaks.len(), usize::from(is_lost));
}

/// What the judge says of a node that is told to drain at 0 and to take clients again at 5000 ms: `calls` are the answers, and
/// it is asked for `GET /up` at these times.
fn breaks_of_drain(calls: [Option<u16>; 2], up: &[(f64, Option<u16>)]) -> Vec<Rule> {
    let (node, process) = (0, 1);
    let told = [(OperatorCall::DrainOn, 0.0, calls[0]), (OperatorCall::DrainOff, 5000.0, calls[1])];
    let mut records = vec![Record::Start { node, process, caller: 0, at: -1000.0 }];
    records.extend(told.map(|(call, at, status)| Record::Operator { node, process, call, at, status }));
    records.extend(up.iter().map(|(at, status)| Record::Up { node, process, at: *at, status: *status }));
    judge(&Plan::draw(1, 20_000.0), &records).breaks.iter().map(|broken| broken.rule).collect()
}

const YES: Option<u16> = Some(200);
const NO: Option<u16> = Some(503);

#[test_case([YES, YES], &[(3900.0, YES), (5100.0, NO), (6900.0, YES)], &[]; "in time")]
#[test_case([NO, YES], &[], &[Rule::Operators]; "a drain that is refused")]
#[test_case([YES, None], &[], &[Rule::Operators]; "a call that is not answered")]
#[test_case([YES, YES], &[(4000.0, YES)], &[Rule::Lost]; "still yes 4 s after the call")]
#[test_case([YES, YES], &[(5100.0, NO), (6900.0, NO)], &[Rule::Operators]; "no yes 2 s after the end of a drain")]
fn a_node_does_what_operators_ask(calls: [Option<u16>; 2], up: &[(f64, Option<u16>)], wanted: &[Rule]) {
    assert_eq!(breaks_of_drain(calls, up), wanted);
}

/// How a connection ended with a request of 600 ms on it that was sent at 100 ms.
struct Shut {
    at: f64,
    reset: bool,
    fresh: bool,
    /// With another in one write, which was answered.
    behind_answered: bool,
    /// That answer is large, and was broken off with the connection.
    broken_off: bool,
    crossed: bool,
    crowded: bool,
}

const SHUT: Shut = Shut {
    at: 400.0,
    reset: true,
    fresh: false,
    behind_answered: false,
    broken_off: false,
    crossed: false,
    crowded: false,
};

fn request(id: &str, fresh: bool, line: Option<Line>) -> Record {
    let (id, effect) = (id.to_string(), Effect::Idempotent);
    Record::Request { id, node: 0, effect, began: 100.0, at: 100.0, deadline: 600.0, fresh, line }
}

#[test_case(&SHUT, true; "unread in its time")]
#[test_case(&Shut { reset: false, ..SHUT }, false; "an orderly end")]
#[test_case(&Shut { at: 800.0, ..SHUT }, false; "behind its time")]
#[test_case(&Shut { behind_answered: true, ..SHUT }, false; "read with another")]
#[test_case(&Shut { behind_answered: true, broken_off: true, ..SHUT }, true; "behind an answer that is broken off")]
#[test_case(&Shut { behind_answered: true, broken_off: true, fresh: true, ..SHUT }, true; "the same on a connection that was new")]
#[test_case(&Shut { behind_answered: true, broken_off: true, reset: false, ..SHUT }, false; "the same, an orderly end")]
#[test_case(&Shut { fresh: true, ..SHUT }, false; "new, without a crowd")]
#[test_case(&Shut { fresh: true, crossed: true, reset: false, ..SHUT }, false; "new, crossed without a crowd")]
#[test_case(&Shut { behind_answered: true, crossed: true, reset: false, ..SHUT }, false; "crossed, and read with another")]
#[test_case(&Shut { fresh: true, crossed: true, crowded: true, reset: false, ..SHUT }, true; "new, crossed in a crowd")]
#[test_case(&Shut { fresh: true, crowded: true, ..SHUT }, true; "new, in a crowd")]
#[test_case(&Shut { fresh: true, crowded: true, reset: false, ..SHUT }, false; "new, an orderly end in a crowd")]
fn a_request_is_shut_unread_by_a_reset_in_its_time_alone(shut: &Shut, is_excused: bool) {
    let first = "the first";
    let line = shut.behind_answered.then(|| Line { first: first.into(), together: true });
    let mut records = vec![Record::Start { node: 0, process: 1, caller: 0, at: -1000.0 }];
    records.extend(shut.crowded.then_some(Record::Crowd { node: 0, from: 0.0, to: 1000.0 }));
    if shut.behind_answered {
        records.push(request(first, false, line.clone()));
        records.push(Record::Answer { id: first.into(), at: 200.0, status: 200 });
    }
    let (id, at) = (first.to_string(), shut.at);
    let broken_off = Record::AnswerEnded { id, at, end: AnswerEnd::Broken, last: 200.0, slow: false };
    records.extend(shut.broken_off.then_some(broken_off));
    records.push(request(ID, shut.fresh, line));
    let Shut { at, reset, crossed, .. } = *shut;
    records.push(Record::Unanswered { id: ID.into(), at, crossed, reset });
    let verdict = judge(&Plan::draw(1, 20_000.0), &records);
    assert_eq!((verdict.breaks.is_empty(), verdict.shut_unread), (is_excused, usize::from(is_excused)));
}

#[test_case(300.0, true; "in its time")]
#[test_case(800.0, false; "behind its time")]
fn a_dripping_answer_is_broken_off_for_a_request_behind_it_in_its_time(at: f64, is_allowed: bool) {
    let line = |together| Some(Line { first: ID.into(), together });
    let behind = "the one behind";
    let records = [
        Record::Start { node: 0, process: 1, caller: 0, at: -1000.0 },
        request(ID, false, line(false)),
        request(behind, false, line(false)),
        Record::Attempt { id: ID.into(), server: 0, at: 110.0, told: 590.0 },
        Record::Answer { id: ID.into(), at: 200.0, status: 200 },
        Record::ReplyEnded { id: ID.into(), server: 0, at, end: ReplyEnd::LeftByNode, last: at - 50.0 },
        Record::AnswerEnded { id: ID.into(), at, end: AnswerEnd::Broken, last: at - 50.0, slow: false },
        Record::Answer { id: behind.into(), at: at + 1.0, status: 503 },
    ];
    assert_eq!(judge(&Plan::draw(1, 20_000.0), &records).breaks.is_empty(), is_allowed);
}

/// A node that was told to drain at 0 and a look at it 4.3 s later.
#[test_case(Some(0), None, false; "all let go")]
#[test_case(Some(1), None, true; "an idle connection")]
#[test_case(None, Some(3900.0), true; "a request of the last 2 s")]
#[test_case(None, Some(1000.0), false; "a request of before, whose last byte is of the last 2 s")]
fn a_drained_node_holds_no_connection(idle: Option<usize>, began: Option<f64>, is_broken: bool) {
    let (node, process) = (0, 1);
    let mut records = vec![Record::Start { node, process, caller: 0, at: -1000.0 }];
    records.push(Record::Operator { node, process, call: OperatorCall::DrainOn, at: 0.0, status: YES });
    records.extend(began.map(|began| Record::Request {
        id: ID.into(),
        node,
        effect: Effect::Keyed,
        began,
        at: 3950.0,
        deadline: 6000.0,
        fresh: false,
        line: None,
    }));
    records.extend(idle.map(|open| Record::Idle { node, process, at: 4300.0, open }));
    records.push(Record::Operator { node, process, call: OperatorCall::DrainOff, at: 5000.0, status: YES });
    assert_eq!(!judge(&Plan::draw(1, 20_000.0), &records).breaks.is_empty(), is_broken);
}
