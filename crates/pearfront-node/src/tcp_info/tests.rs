use super::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread::sleep;

// A request that arrives late on a connection that waits to be accepted: the age of the connection
// counts.
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

// An older kernel returns fewer bytes than the C library's current struct has; that was treated as
// an error, and the process ended.
#[test]
fn tcp_info_is_no_larger_than_every_kernel_provides() {
    /// Size of the struct in Linux 2.6, bytes.
    const TOLD: usize = 104;
    assert!(size_of::<TcpInfo>() <= TOLD, "{} bytes", size_of::<TcpInfo>());
    assert_eq!(
        std::mem::offset_of!(TcpInfo, last_data_sent),
        std::mem::offset_of!(libc::tcp_info, tcpi_last_data_sent)
    );
}
