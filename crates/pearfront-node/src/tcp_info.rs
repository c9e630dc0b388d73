//! Reads from the kernel since when a client connection has been established. Everything on it
//! arrived later, however long it waited to be accepted, and whichever process served the listener
//! meanwhile. Used by `accept`.

use nix::{getsockopt_impl, libc, sockopt_impl};
use std::os::fd::AsFd;
use std::time::Duration;
use tokio::time::Instant;

/// The beginning of Linux's `tcp_info`. Newer kernels append fields, and the answer of a kernel
/// that returns fewer bytes than were requested is rejected as an error.
#[repr(C)]
pub struct TcpInfo {
    state_and_options: [u8; 8],
    timeouts_and_segments: [u32; 9],
    /// Time since the last data was sent, ms.
    last_data_sent: u32,
}

sockopt_impl!(
    /// The `TCP_INFO` socket option.
    ConnectionInfo,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    TcpInfo
);

/// The longest clock tick of any kernel.
const TICK: Duration = Duration::from_millis(10);

/// The earliest time at which a connection can have been established on which nothing has been sent
/// yet: until then the kernel reports the end of the handshake as the time of the last byte sent.
/// `None` if the kernel does not say.
pub fn earliest_established(stream: &impl AsFd) -> Option<Instant> {
    let now = Instant::now();
    let info = nix::sys::socket::getsockopt(stream, ConnectionInfo).ok()?;
    let age = Duration::from_millis(info.last_data_sent.into());
    now.checked_sub(age + TICK)
}

#[cfg(test)]
mod tests;
