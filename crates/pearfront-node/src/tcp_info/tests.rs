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
    let earliest = earliest_established(&stream).unwrap();
    assert!(earliest <= connected, "{:?} late", earliest - connected);
    assert!(earliest + 3 * TICK >= before, "{:?} early", before - earliest);
}

// An older kernel tells less than the C library's header of the day names: the answer was taken for broken, and the process ended.
#[test]
fn no_more_is_asked_of_a_connection_than_every_kernel_tells() {
    /// What Linux 2.6 tells.
    const TOLD: usize = 104;
    assert!(size_of::<TcpInfo>() <= TOLD, "{} bytes", size_of::<TcpInfo>());
    assert_eq!(
        std::mem::offset_of!(TcpInfo, last_data_sent),
        std::mem::offset_of!(libc::tcp_info, tcpi_last_data_sent)
    );
}
