//! The clients' listening socket where the platform holds it and every process inherits it.

use socket2::Socket;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// The same where the kernel doesn't say: more than is of use on any machine.
const DEFAULT_MAX_ACCEPT_QUEUE: usize = 65_535;

/// Takes over the descriptor of that number, if a listener at the address stands behind it.
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

/// Most connections that wait in a listener's queue, whoever opened it.
pub fn max_accept_queue() -> usize {
    let most = std::fs::read_to_string("/proc/sys/net/core/somaxconn").ok();
    most.and_then(|most| most.trim().parse().ok()).unwrap_or(DEFAULT_MAX_ACCEPT_QUEUE)
}

/// The only unsafe line: no safe call makes an owner of a number. It is called once, before anything else has been
/// opened, with the number that the platform says is ours and that has just been seen to be open.
#[allow(unsafe_code)]
fn take_ownership(number: RawFd) -> OwnedFd {
    unsafe { OwnedFd::from_raw_fd(number) }
}
