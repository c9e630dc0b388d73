//! How much of what a client sends ahead of its turn surely reaches the node's kernel, where it can be looked at. The rest stays in
//! the client's kernel, which tells nothing of it. Where much comes, the kernel is given more room for that connection.

use crate::admit::{Place, Window as Share};
use crate::unread::MOST_SEEN;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The kernel takes at least so many unread bytes on a connection as it opens it, in however small pieces they come: two thirds of
/// the least that was measured with its usual buffer of 128 KiB.
const USUAL: usize = 64 * 1024;
/// Where so many lie there it is given more room.
const MUCH: usize = USUAL / 2;
/// What it is told to keep instead, in bytes. It takes twice as much, pieces and what it needs beside them, and surely `MOST_SEEN`.
const WIDENED: usize = MOST_SEEN;
/// What that takes of the room.
pub const WIDENED_ROOM: usize = 2 * WIDENED;
/// A client's kernel that had no room to send to asks again after 0.2 s; by then all is here that the client had written.
const SETTLING: Duration = Duration::from_millis(300);

/// The room that the kernel has for what lies unread on one connection.
#[derive(Default)]
pub struct Window {
    widened: RefCell<Option<Share>>,
    since: Cell<Option<Instant>>,
}

impl Window {
    /// So many bytes lie unread. If that is near what the kernel holds it is given more room, as far as there is some; for as long
    /// as the connection stands: what a smaller buffer has no room for would be dropped.
    pub fn fit(&self, unread: usize, stream: &TcpStream, place: &Place) {
        if unread < MUCH || self.widened.borrow().is_some() {
            return;
        }
        let Some(share) = place.window(WIDENED_ROOM) else { return };
        let socket = socket2::SockRef::from(stream);
        // One that has grown by itself is not made smaller.
        let is_small = socket.recv_buffer_size().is_ok_and(|size| size < WIDENED_ROOM);
        if !is_small || socket.set_recv_buffer_size(WIDENED).is_ok() {
            self.widened.replace(Some(share));
            // What had room before is here.
            self.since.set((unread >= USUAL).then(Instant::now));
        }
    }

    /// Lies there so much that more may be in the client's kernel?
    pub fn is_full(&self, unread: usize) -> bool {
        unread >= if self.widened.borrow().is_some() { MOST_SEEN } else { USUAL }
    }

    /// May what its client had written still be on its way, as the kernel was given more room a moment ago?
    pub fn is_settling(&self) -> bool {
        self.since.get().is_some_and(|since| since.elapsed() < SETTLING)
    }
}
