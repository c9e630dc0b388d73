//! The clients' listening socket where the platform holds it open and every process of the node inherits it.
//! Used by `main` at the start.

use socket2::Socket;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// The accept queue limit if the kernel does not report one: more than is of use on any machine.
const DEFAULT_MAX_ACCEPT_QUEUE: usize = 65_535;

/// Takes over the descriptor of that number if it is a listener at the address.
pub fn listener(number: RawFd, address: SocketAddr) -> Result<std::net::TcpListener, String> {
    if std::fs::read_link(format!("/proc/self/fd/{number}")).is_err() {
        return Err(format!("descriptor {number} is not open"));
    }
    let socket = Socket::from(take_ownership(number));
    if !socket.is_listener().is_ok_and(|is_listener| is_listener) {
        return Err(format!("descriptor {number} is no listening socket"));
    }
    let bound = socket.local_addr().ok().and_then(|bound| bound.as_socket());
    if bound != Some(address) {
        return Err(format!("descriptor {number} listens at {bound:?}, not at {address}"));
    }
    socket.set_nonblocking(true).map_err(|error| format!("descriptor {number}: {error}"))?;
    Ok(socket.into())
}

/// Most connections that wait in a listener's accept queue, whoever opened it.
pub fn max_accept_queue() -> usize {
    let limit = std::fs::read_to_string("/proc/sys/net/core/somaxconn").ok();
    limit.and_then(|limit| limit.trim().parse().ok()).unwrap_or(DEFAULT_MAX_ACCEPT_QUEUE)
}

/// The only unsafe line: no safe call turns a number into an owned descriptor. It is called once, before
/// anything else has been opened, with the number that the platform passed to this process and after a check
/// that it is open.
#[allow(unsafe_code)]
fn take_ownership(number: RawFd) -> OwnedFd {
    unsafe { OwnedFd::from_raw_fd(number) }
}
