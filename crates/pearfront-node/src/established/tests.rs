use super::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread::sleep;

// A request that comes late on a connection that waits to be accepted: what counts is the connection.
#[test]
fn a_connection_that_waited_to_be_accepted_is_as_old_as_its_handshake() {
    const WAITS: Duration = Duration::from_millis(300);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let before = Instant::now();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let connected = Instant::now();
    sleep(WAITS);
    client.write_all(b"late").unwrap();
    let (stream, _) = listener.accept().unwrap();
    let earliest = earliest(&stream).unwrap();
    assert!(earliest <= connected, "{:?} late", earliest - connected);
    assert!(earliest + 3 * TICK >= before, "{:?} early", before - earliest);
}
