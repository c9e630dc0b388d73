//! An outdated server list: discovery answers each call with an error while servers begin to drain.

use crate::stand_ins::{Behavior, Node, Server, config, head, in_time};
use serde_json::json;
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Time after which a change counts as announced, ms, whatever happened to the calls.
const TOLD: u64 = 6000;
const GRACE: u64 = 400;
/// Tolerance that the protocol adds to each limit, ms.
const SLACK: u64 = 50;

// Discovery is overloaded and answers each call with 503. A server begins to drain and says so to probes and requests, or to
// probes only; the list does not. Once the drain counts as announced and the grace period is over, no request may go there.
#[test_case(false; "it turns requests away")]
#[test_case(true; "it goes on to serve")]
fn a_server_that_drains_behind_a_crowded_discovery_gets_nothing_after_the_grace(serves: bool) {
    in_time(|| {
        let servers: Vec<Server> = (0..3).map(|_| Server::start(Behavior::Serve(Vec::new()))).collect();
        let drains = &servers[0];
        let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
        let mut file = config(&addresses);
        file["settings"]["rules"]["drain_grace"] = json!(GRACE * 1_000_000);
        file["settings"]["rules"]["ask_within"] = json!(10_000_000_000_u64);
        let node = Node::start(&file);
        node.discovery.publish(2, crate::stand_ins::list(2, false, &[]));
        node.discovery.wait_for(2);
        let mut client = node.client();
        let mut ask = || client.ask(&head("read", "5", 0), b"").status();
        while drains.requests().is_empty() {
            assert_eq!(ask(), 200);
        }
        node.discovery.refuse_calls();
        drains.drain(serves);
        let told = Instant::now();
        while told.elapsed() < Duration::from_millis(TOLD + GRACE + SLACK) {
            ask();
            sleep(Duration::from_millis(5));
        }
        let before = drains.requests().len();
        let served = (0..300).filter(|_| ask() == 200).count();
        let after = drains.requests().len();
        node.end();
        if served < 300 {
            return Err(format!("{} of 300 requests were not served by the servers that stay", 300 - served));
        }
        if after == before { Ok(()) } else { Err(format!("{} requests after the grace", after - before)) }
    });
}
