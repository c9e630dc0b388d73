//! Tests of the discovery client: the translation of entries, and lists that arrive out of order.

use super::*;
use crate::test_support::{TestNode, run};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

fn entry(id: &str, port: u16, started: Option<f64>) -> ServerEntry {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    ServerEntry {
        id: id.into(),
        address,
        state: ServerState::Ready,
        cell: 0,
        zone: 0,
        machine_type: 0,
        weight: 1.0,
        started,
    }
}

#[test]
fn addresses_and_starts_are_translated_for_the_decision_module() {
    let listed = listed_server(&entry("a", 8443, Some(1500.0)), |unix| unix - 1000.0);
    assert_eq!((listed.address, listed.started_at), ([127, 0, 0, 1, 0x20, 0xfb], 500.0));
    assert_eq!(decode_address(listed.address), "127.0.0.1:8443".parse().unwrap());
    assert_eq!(listed_server(&entry("a", 1, None), |unix| unix - 1000.0).started_at, f64::NEG_INFINITY);
}

// While a call is held, another process of the node passes on a newer list. The answer to the call may be
// older: it must not undo that list, and a newer one still applies.
#[test_case(4, "Ready", false; "older")]
#[test_case(6, "Ready", true; "newer")]
fn an_older_list_that_arrives_late_undoes_nothing(answered: u64, lifecycle: &str, is_ready: bool) {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let node = TestNode::new(address);
        node.list_server(3, address, ServerState::Ready);
        let discovery = node.discovery.clone();
        let answer = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut call = [0; 1024];
            assert!(stream.read(&mut call).await.unwrap() > 0);
            node.list_server(5, address, ServerState::Draining);
            let body = list_of(answered, address, lifecycle);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all((head + &body).as_bytes()).await.unwrap();
        };
        let (called, ()) = tokio::join!(discovery.call(true, 0.0), answer);
        assert!(called.is_ok());
        assert_eq!(discovery.is_ready(address), is_ready);
        assert_eq!(discovery.list_version.get(), answered.max(5));
    });
}

/// A list with one server, in the format of the discovery protocol.
fn list_of(version: u64, server: SocketAddr, lifecycle: &str) -> String {
    let entry = serde_json::json!({"instanceId": "s0", "hostPort": server.to_string(), "zone": "a", "machineType": "m",
        "cell": 1, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0});
    serde_json::json!({"generation": version, "reset": false, "instances": [entry]}).to_string()
}
