use super::*;
use State::{Ending, LameDuck, Ready, Starting};
use test_case::test_case;

fn after(words: &str) -> State {
    let life = Lifecycle::new();
    for word in words.split(' ') {
        match word {
            "ready" => life.ready(),
            "on" => life.drain(),
            "end" => life.end(KEPT),
            _ => drop(life.resume()),
        }
    }
    life.state()
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
    let life = Lifecycle::new();
    assert!(!life.accepts());
    life.ready();
    life.end(KEPT);
    assert!(life.accepts() && life.keeps_alive());
    life.succeeded(true);
    assert!(!life.accepts() && !life.keeps_alive());
    life.succeeded(false);
    assert!(life.accepts());
}

#[tokio::test(start_paused = true)]
async fn clients_are_let_go_in_time_and_kept_again_when_the_drain_is_taken_back() {
    let life = Lifecycle::new();
    life.ready();
    life.drain();
    assert!(life.keeps_alive() && life.spares_for().is_none());
    tokio::time::advance(KEPT).await;
    assert_eq!((life.keeps_alive(), life.spares_for()), (false, Some(PAUSE)));
    tokio::time::advance(ALL_IDLE).await;
    // A second word doesn't begin the time anew.
    life.drain();
    assert_eq!(life.spares_for(), Some(Duration::ZERO));
    assert!(life.resume() && life.keeps_alive());
}

// Told to end, the only node of its clients serves them on what they have as long as it can answer.
#[tokio::test(start_paused = true)]
async fn a_node_that_ends_alone_keeps_its_clients_longer_than_a_drain_would() {
    let life = Lifecycle::new();
    life.ready();
    life.end(KEPT * 2);
    tokio::time::advance(KEPT).await;
    assert!(life.keeps_alive());
    // Not so with another process on its socket, or behind a drain that has let them go already.
    life.succeeded(true);
    assert!(!life.keeps_alive());
    let drained = Lifecycle::new();
    drained.drain();
    tokio::time::advance(KEPT).await;
    drained.end(KEPT * 2);
    assert!(!drained.keeps_alive());
}
