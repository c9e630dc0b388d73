//! What renews a lease, and what does not.

use super::{CallOutcome, LeaseRules, Leases};
use std::net::SocketAddr;
use test_case::test_case;

const ASKED: LeaseRules = LeaseRules { pushed: false, drain_grace_ms: 3000.0 };
const PUSHED: LeaseRules = LeaseRules { pushed: true, drain_grace_ms: 3000.0 };

fn server(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 80))
}

// The list was heard at 1 s; then this.
#[test_case(ASKED, CallOutcome::ListReceived { at: 2000.0 }, 10_800.0; "heard, asked")]
#[test_case(PUSHED, CallOutcome::ListReceived { at: 2000.0 }, 10_800.0; "heard, pushed")]
#[test_case(ASKED, CallOutcome::Unreachable { since: 2000.0 }, 10_800.0; "unreachable, asked")]
#[test_case(PUSHED, CallOutcome::Unreachable { since: 2000.0 }, 4800.0; "unreachable, pushed")]
#[test_case(ASKED, CallOutcome::Rejected { since: 2000.0 }, 9800.0; "crowded, asked: nothing is renewed")]
#[test_case(PUSHED, CallOutcome::Rejected { since: 2000.0 }, 4800.0; "crowded, pushed")]
#[test_case(ASKED, CallOutcome::TimedOut { at: 2000.0 }, 4800.0; "given up, asked: its answer may be on its way")]
#[test_case(PUSHED, CallOutcome::TimedOut { at: 2000.0 }, 4800.0; "given up, pushed")]
#[test_case(ASKED, CallOutcome::Truncated { at: 2000.0, until: 2000.0 }, 4800.0; "cut, asked: what it said counts")]
#[test_case(PUSHED, CallOutcome::Truncated { at: 2000.0, until: 2000.0 }, 4800.0; "cut, pushed")]
fn a_call_renews_the_list(rules: LeaseRules, outcome: CallOutcome, until: f64) {
    let leases = Leases::default();
    leases.start(rules, 0.0);
    leases.record_call(rules, CallOutcome::ListReceived { at: 1000.0 });
    leases.record_call(rules, outcome);
    assert_eq!(leases.list_expiry(rules), until);
}

#[test]
fn what_a_cut_list_said_counts_until_a_whole_one_is_heard() {
    let leases = Leases::default();
    leases.record_call(ASKED, CallOutcome::ListReceived { at: 0.0 });
    leases.record_call(ASKED, CallOutcome::Truncated { at: 1000.0, until: 1000.0 });
    leases.record_call(ASKED, CallOutcome::Unreachable { since: 2000.0 });
    assert_eq!(leases.list_expiry(ASKED), 3800.0);
    leases.record_call(ASKED, CallOutcome::ListReceived { at: 3000.0 });
    assert_eq!(leases.list_expiry(ASKED), 11_800.0);
}

#[test]
fn a_service_that_moved_counts_soon() {
    let leases = Leases::default();
    leases.record_call(ASKED, CallOutcome::ListReceived { at: 1000.0 });
    leases.service_moved(1000.0);
    assert_eq!(leases.list_expiry(ASKED), 7800.0);
}

#[test]
fn a_servers_own_word_is_for_it_alone() {
    let leases = Leases::default();
    leases.start(ASKED, 0.0);
    leases.confirm(server(1), 5000.0);
    leases.confirm(server(1), 4000.0);
    assert_eq!(
        (leases.server_expiry(ASKED, server(1)), leases.server_expiry(ASKED, server(2))),
        (13_800.0, 8800.0)
    );
    leases.forget(server(1));
    assert_eq!(leases.server_expiry(ASKED, server(1)), 8800.0);
}

#[test]
fn a_process_that_starts_is_told_at_once_where_lists_are_pushed() {
    for (rules, until) in [(PUSHED, 2800.0), (ASKED, 8800.0)] {
        let leases = Leases::default();
        leases.start(rules, 0.0);
        assert_eq!(leases.list_expiry(rules), until);
    }
}

// A shorter grace that comes into force binds what was known under the longer one.
#[test]
fn a_shorter_grace_holds_at_once() {
    let leases = Leases::default();
    leases.record_call(ASKED, CallOutcome::ListReceived { at: 0.0 });
    leases.confirm(server(1), 1000.0);
    let shorter = LeaseRules { drain_grace_ms: 400.0, ..ASKED };
    assert_eq!((leases.list_expiry(shorter), leases.server_expiry(shorter, server(1))), (6200.0, 7200.0));
}

// What a list said that broke off counts as told, whatever the server took before; what it takes behind that is younger.
#[test]
fn a_servers_word_from_before_a_cut_list_does_not_outlast_it() {
    let leases = Leases::default();
    leases.confirm(server(1), 500.0);
    leases.record_call(ASKED, CallOutcome::Truncated { at: 1000.0, until: 1000.0 });
    assert_eq!(leases.server_expiry(ASKED, server(1)), 3800.0);
    leases.confirm(server(1), 1500.0);
    assert_eq!(leases.server_expiry(ASKED, server(1)), 10_300.0);
}

// A list counts from when it can have come at the earliest, some 50 ms before it is read: a word that was asked for in between is not
// younger than what it said.
#[test]
fn a_servers_word_from_right_before_a_cut_list_was_read_does_not_outlast_it() {
    let leases = Leases::default();
    leases.confirm(server(1), 1030.0);
    leases.record_call(ASKED, CallOutcome::Truncated { at: 1000.0, until: 1050.0 });
    assert_eq!(leases.server_expiry(ASKED, server(1)), 3800.0);
}

// Each further call that is answered so proves nothing: what discovery has counts from the end of the watch.
#[test]
fn a_crowded_service_that_pushes_renews_nothing() {
    let leases = Leases::default();
    leases.record_call(PUSHED, CallOutcome::ListReceived { at: 0.0 });
    leases.record_call(PUSHED, CallOutcome::Rejected { since: 1000.0 });
    leases.record_call(PUSHED, CallOutcome::Rejected { since: 3000.0 });
    assert_eq!(leases.list_expiry(PUSHED), 3800.0);
}

// Until a list is heard what was given up may be written at any time: a server's word lasts for the grace alone.
#[test]
fn behind_a_call_that_was_given_up_a_servers_word_is_short() {
    let leases = Leases::default();
    leases.record_call(ASKED, CallOutcome::TimedOut { at: 1000.0 });
    leases.confirm(server(1), 2000.0);
    assert_eq!(leases.server_expiry(ASKED, server(1)), 4800.0);
    leases.record_call(ASKED, CallOutcome::ListReceived { at: 3000.0 });
    leases.confirm(server(1), 4000.0);
    assert_eq!(leases.server_expiry(ASKED, server(1)), 12_800.0);
}
