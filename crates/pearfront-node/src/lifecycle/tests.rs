//! Tests of the lifecycle's transitions and of its schedule for client connections.

use super::*;
use State::{Ending, LameDuck, Ready, Starting};
use test_case::test_case;

fn state_after(commands: &str) -> State {
    let lifecycle = Lifecycle::new();
    for command in commands.split(' ') {
        match command {
            "ready" => lifecycle.set_ready(),
            "on" => lifecycle.drain(),
            "end" => lifecycle.end(KEEP_OPEN),
            _ => drop(lifecycle.resume()),
        }
    }
    lifecycle.state()
}

// Operators repeat calls, and a drain may overlap a start, an end or another drain.
#[test_case("ready", Ready; "ready")]
#[test_case("ready on on", LameDuck; "drained twice")]
#[test_case("ready on off on", LameDuck; "on, off and on")]
#[test_case("ready on off off", Ready; "taken back twice")]
#[test_case("on ready", LameDuck; "drained before it was ready")]
#[test_case("on ready off", Ready; "and taken back after")]
#[test_case("on off", Starting; "taken back before it was ready")]
#[test_case("ready on end off", Ending; "an end is not taken back")]
#[test_case("ready end on ready", Ending; "nor turned into a drain")]
fn transitions(commands: &str, expected: State) {
    assert_eq!(state_after(commands), expected);
}

// Without another process on its socket, a node that is ending still has to answer new clients.
#[test]
fn only_a_node_with_a_successor_stops_accepting_when_it_ends() {
    let lifecycle = Lifecycle::new();
    assert!(!lifecycle.accepts());
    lifecycle.set_ready();
    lifecycle.end(KEEP_OPEN);
    assert!(lifecycle.accepts() && lifecycle.keeps_alive());
    lifecycle.set_successor(true);
    assert!(!lifecycle.accepts() && !lifecycle.keeps_alive());
    lifecycle.set_successor(false);
    assert!(lifecycle.accepts());
}

#[tokio::test(start_paused = true)]
async fn clients_are_released_in_time_and_kept_again_when_the_drain_is_undone() {
    let lifecycle = Lifecycle::new();
    lifecycle.set_ready();
    lifecycle.drain();
    assert!(lifecycle.keeps_alive() && lifecycle.idle_close_after().is_none());
    tokio::time::advance(KEEP_OPEN).await;
    assert_eq!((lifecycle.keeps_alive(), lifecycle.idle_close_after()), (false, Some(IDLE_PAUSE)));
    tokio::time::advance(CLOSE_ALL_AFTER).await;
    // A second drain command doesn't restart the time.
    lifecycle.drain();
    assert_eq!(lifecycle.idle_close_after(), Some(Duration::ZERO));
    assert!(lifecycle.resume() && lifecycle.keeps_alive());
}

// The only node of its clients, told to end, serves them on their connections as long as it can answer.
#[tokio::test(start_paused = true)]
async fn a_node_that_ends_alone_keeps_its_clients_longer_than_a_drain_would() {
    let lifecycle = Lifecycle::new();
    lifecycle.set_ready();
    lifecycle.end(KEEP_OPEN * 2);
    tokio::time::advance(KEEP_OPEN).await;
    assert!(lifecycle.keeps_alive());
    // Not if another process serves its socket, or after a drain that has already released them.
    lifecycle.set_successor(true);
    assert!(!lifecycle.keeps_alive());
    let drained = Lifecycle::new();
    drained.drain();
    tokio::time::advance(KEEP_OPEN).await;
    drained.end(KEEP_OPEN * 2);
    assert!(!drained.keeps_alive());
}
