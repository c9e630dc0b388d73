//! Tests of the leases: which results renew a lease, and which do not.

use super::{CallOutcome, LeaseRules, Leases};
use std::net::SocketAddr;
use test_case::test_case;

const POLLED: LeaseRules = LeaseRules { pushed: false, drain_grace_ms: 3000.0 };
const PUSHED: LeaseRules = LeaseRules { pushed: true, drain_grace_ms: 3000.0 };

fn server(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 80))
}

// A list was received at 1 s; the given result follows.
#[test_case(POLLED, CallOutcome::ListReceived { at: 2000.0 }, 10_800.0; "list, polled")]
#[test_case(PUSHED, CallOutcome::ListReceived { at: 2000.0 }, 10_800.0; "list, pushed")]
#[test_case(POLLED, CallOutcome::Unreachable { since: 2000.0 }, 10_800.0; "unreachable, polled")]
#[test_case(PUSHED, CallOutcome::Unreachable { since: 2000.0 }, 4800.0; "unreachable, pushed")]
#[test_case(POLLED, CallOutcome::Rejected { since: 2000.0 }, 9800.0; "rejected, polled: nothing is renewed")]
#[test_case(PUSHED, CallOutcome::Rejected { since: 2000.0 }, 4800.0; "rejected, pushed")]
#[test_case(POLLED, CallOutcome::TimedOut { at: 2000.0 }, 4800.0; "timed out, polled: its answer may be on its way")]
#[test_case(PUSHED, CallOutcome::TimedOut { at: 2000.0 }, 4800.0; "timed out, pushed")]
#[test_case(POLLED, CallOutcome::Truncated { at: 2000.0, until: 2000.0 }, 4800.0; "incomplete, polled: its changes count")]
#[test_case(PUSHED, CallOutcome::Truncated { at: 2000.0, until: 2000.0 }, 4800.0; "incomplete, pushed")]
fn a_call_updates_the_lease_of_the_list(rules: LeaseRules, outcome: CallOutcome, until: f64) {
    let leases = Leases::default();
    leases.start(rules, 0.0);
    leases.record_call(rules, CallOutcome::ListReceived { at: 1000.0 });
    leases.record_call(rules, outcome);
    assert_eq!(leases.list_expiry(rules), until);
}

#[test]
fn the_changes_of_an_incomplete_list_count_until_a_complete_one_arrives() {
    let leases = Leases::default();
    leases.record_call(POLLED, CallOutcome::ListReceived { at: 0.0 });
    leases.record_call(POLLED, CallOutcome::Truncated { at: 1000.0, until: 1000.0 });
    leases.record_call(POLLED, CallOutcome::Unreachable { since: 2000.0 });
    assert_eq!(leases.list_expiry(POLLED), 3800.0);
    leases.record_call(POLLED, CallOutcome::ListReceived { at: 3000.0 });
    assert_eq!(leases.list_expiry(POLLED), 11_800.0);
}

#[test]
fn what_a_moved_service_has_counts_soon() {
    let leases = Leases::default();
    leases.record_call(POLLED, CallOutcome::ListReceived { at: 1000.0 });
    leases.service_moved(1000.0);
    assert_eq!(leases.list_expiry(POLLED), 7800.0);
}

#[test]
fn a_successful_probe_counts_for_its_server_alone() {
    let leases = Leases::default();
    leases.start(POLLED, 0.0);
    leases.confirm(server(1), 5000.0);
    leases.confirm(server(1), 4000.0);
    assert_eq!(
        (leases.server_expiry(POLLED, server(1)), leases.server_expiry(POLLED, server(2))),
        (13_800.0, 8800.0)
    );
    leases.forget(server(1));
    assert_eq!(leases.server_expiry(POLLED, server(1)), 8800.0);
}

#[test]
fn at_the_start_changes_count_at_once_where_lists_are_pushed() {
    for (rules, until) in [(PUSHED, 2800.0), (POLLED, 8800.0)] {
        let leases = Leases::default();
        leases.start(rules, 0.0);
        assert_eq!(leases.list_expiry(rules), until);
    }
}

// A shorter grace that comes into force also applies to what was learned under the longer one.
#[test]
fn a_shorter_grace_applies_at_once() {
    let leases = Leases::default();
    leases.record_call(POLLED, CallOutcome::ListReceived { at: 0.0 });
    leases.confirm(server(1), 1000.0);
    let shorter = LeaseRules { drain_grace_ms: 400.0, ..POLLED };
    assert_eq!((leases.list_expiry(shorter), leases.server_expiry(shorter, server(1))), (6200.0, 7200.0));
}

// The changes in a list that broke off count as delivered even against a probe before it; a later probe is
// newer than they are.
#[test]
fn a_probe_from_before_an_incomplete_list_does_not_outlast_it() {
    let leases = Leases::default();
    leases.confirm(server(1), 500.0);
    leases.record_call(POLLED, CallOutcome::Truncated { at: 1000.0, until: 1000.0 });
    assert_eq!(leases.server_expiry(POLLED, server(1)), 3800.0);
    leases.confirm(server(1), 1500.0);
    assert_eq!(leases.server_expiry(POLLED, server(1)), 10_300.0);
}

// A list counts from the earliest time at which it can have arrived, some 50 ms before it is read, so a probe
// in between is no newer than its changes.
#[test]
fn a_probe_from_right_before_an_incomplete_list_was_read_does_not_outlast_it() {
    let leases = Leases::default();
    leases.confirm(server(1), 1030.0);
    leases.record_call(POLLED, CallOutcome::Truncated { at: 1000.0, until: 1050.0 });
    assert_eq!(leases.server_expiry(POLLED, server(1)), 3800.0);
}

// A refusal proves nothing, however often it is repeated: what discovery has counts from the end of the
// watch.
#[test]
fn a_refusing_service_that_pushes_renews_nothing() {
    let leases = Leases::default();
    leases.record_call(PUSHED, CallOutcome::ListReceived { at: 0.0 });
    leases.record_call(PUSHED, CallOutcome::Rejected { since: 1000.0 });
    leases.record_call(PUSHED, CallOutcome::Rejected { since: 3000.0 });
    assert_eq!(leases.list_expiry(PUSHED), 3800.0);
}

// Until the next list, an answer that the node stopped waiting for may be written at any time: a probe then
// allows only the grace.
#[test]
fn after_a_timed_out_call_a_probe_is_valid_for_the_grace_alone() {
    let leases = Leases::default();
    leases.record_call(POLLED, CallOutcome::TimedOut { at: 1000.0 });
    leases.confirm(server(1), 2000.0);
    assert_eq!(leases.server_expiry(POLLED, server(1)), 4800.0);
    leases.record_call(POLLED, CallOutcome::ListReceived { at: 3000.0 });
    leases.confirm(server(1), 4000.0);
    assert_eq!(leases.server_expiry(POLLED, server(1)), 12_800.0);
}
