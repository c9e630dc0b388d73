//! Since when a client's connection is established, as the kernel says: what has come on it came behind that, however long it
//! waited to be accepted, and whoever served the listener meanwhile.

use nix::{getsockopt_impl, libc, sockopt_impl};
use std::os::fd::AsFd;
use std::time::Duration;
use tokio::time::Instant;

/// The beginning of what Linux tells of a connection: each version tells more behind it, and one that tells less than it is asked for
/// is taken for broken.
#[repr(C)]
pub struct TcpInfo {
    state_and_options: [u8; 8],
    timeouts_and_segments: [u32; 9],
    /// Time since then, ms.
    last_data_sent: u32,
}

sockopt_impl!(
    /// What the kernel knows of a connection.
    ConnectionInfo,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    TcpInfo
);

/// The longest tick by which a kernel counts.
const TICK: Duration = Duration::from_millis(10);

/// The earliest time at which a connection can have been established on which nothing has been sent yet: until then the kernel has the
/// end of the handshake as the time of the last byte sent. None where it does not say.
pub fn earliest_established(stream: &impl AsFd) -> Option<Instant> {
    let now = Instant::now();
    let info = nix::sys::socket::getsockopt(stream, ConnectionInfo).ok()?;
    let age = Duration::from_millis(info.last_data_sent.into());
    now.checked_sub(age + TICK)
}

#[cfg(test)]
mod tests;
