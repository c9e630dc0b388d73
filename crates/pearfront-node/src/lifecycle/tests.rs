use super::*;
use State::{Ending, LameDuck, Ready, Starting};
use test_case::test_case;

fn after(words: &str) -> State {
    let lifecycle = Lifecycle::new();
    for word in words.split(' ') {
        match word {
            "ready" => lifecycle.ready(),
            "on" => lifecycle.drain(),
            "end" => lifecycle.end(KEPT),
            _ => drop(lifecycle.resume()),
        }
    }
    lifecycle.state()
}

// Operators repeat calls, and a drain may cross a start, an end or another drain.
#[test_case("ready", Ready; "ready")]
#[test_case("ready on on", LameDuck; "drained twice")]
#[test_case("ready on off on", LameDuck; "on, off and on")]
#[test_case("ready on off off", Ready; "taken back twice")]
#[test_case("on ready", LameDuck; "drained before it was ready")]
#[test_case("on ready off", Ready; "and taken back after")]
#[test_case("on off", Starting; "taken back before it was ready")]
#[test_case("ready on end off", Ending; "an end is not taken back")]
#[test_case("ready end on ready", Ending; "nor turned into a drain")]
fn states(words: &str, wanted: State) {
    assert_eq!(after(words), wanted);
}

// With no other process on its socket a node that ends still owes an answer to those who come.
#[test]
fn only_a_node_with_a_successor_stops_accepting_at_its_end() {
    let lifecycle = Lifecycle::new();
    assert!(!lifecycle.accepts());
    lifecycle.ready();
    lifecycle.end(KEPT);
    assert!(lifecycle.accepts() && lifecycle.keeps_alive());
    lifecycle.succeeded(true);
    assert!(!lifecycle.accepts() && !lifecycle.keeps_alive());
    lifecycle.succeeded(false);
    assert!(lifecycle.accepts());
}

#[tokio::test(start_paused = true)]
async fn clients_are_let_go_in_time_and_kept_again_when_the_drain_is_taken_back() {
    let lifecycle = Lifecycle::new();
    lifecycle.ready();
    lifecycle.drain();
    assert!(lifecycle.keeps_alive() && lifecycle.idle_close_after().is_none());
    tokio::time::advance(KEPT).await;
    assert_eq!((lifecycle.keeps_alive(), lifecycle.idle_close_after()), (false, Some(PAUSE)));
    tokio::time::advance(ALL_IDLE).await;
    // A second word doesn't begin the time anew.
    lifecycle.drain();
    assert_eq!(lifecycle.idle_close_after(), Some(Duration::ZERO));
    assert!(lifecycle.resume() && lifecycle.keeps_alive());
}

// Told to end, the only node of its clients serves them on what they have as long as it can answer.
#[tokio::test(start_paused = true)]
async fn a_node_that_ends_alone_keeps_its_clients_longer_than_a_drain_would() {
    let lifecycle = Lifecycle::new();
    lifecycle.ready();
    lifecycle.end(KEPT * 2);
    tokio::time::advance(KEPT).await;
    assert!(lifecycle.keeps_alive());
    // Not so with another process on its socket, or behind a drain that has let them go already.
    lifecycle.succeeded(true);
    assert!(!lifecycle.keeps_alive());
    let drained = Lifecycle::new();
    drained.drain();
    tokio::time::advance(KEPT).await;
    drained.end(KEPT * 2);
    assert!(!drained.keeps_alive());
}
