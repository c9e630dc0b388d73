//! Since when a client's connection is established, as the kernel says: what has come on it came behind that, however long it
//! waited to be accepted, and whoever served the listener meanwhile.

use nix::{getsockopt_impl, libc, sockopt_impl};
use std::os::fd::AsFd;
use std::time::Duration;
use tokio::time::Instant;

sockopt_impl!(
    /// What the kernel knows of a connection.
    TcpInfo,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    libc::tcp_info
);

/// The longest tick by which a kernel counts.
const TICK: Duration = Duration::from_millis(10);

/// The earliest time at which a connection can have been established on which nothing has been sent yet: until then the kernel has the
/// end of the handshake as the time of the last byte sent. None where it does not say.
pub fn earliest(stream: &impl AsFd) -> Option<Instant> {
    let now = Instant::now();
    let info = nix::sys::socket::getsockopt(stream, TcpInfo).ok()?;
    let age = Duration::from_millis(info.tcpi_last_data_sent.into());
    now.checked_sub(age + TICK)
}

#[cfg(test)]
mod tests;
