//! The account of what the process holds in memory for clients and servers, and how the memory limit is divided. Whatever grows
//! with what they do is reserved before it is held: connections by their number, everything else by its bytes. Used by
//! `capacity`.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::Notify;

/// Bytes of a process that serves nobody: its program, and what it has allocated by then.
const IDLE_PROCESS_BYTES: usize = 4 * 1024 * 1024;
/// What the allocator and the kernel's pages add to the bytes in use, as a share of the memory.
const ALLOCATOR_SHARE: f64 = 0.2;
/// Bytes of one open connection beside hyper's read buffer: its write buffer, its queue of messages, and the tasks that serve
/// it and an attempt on it.
const CONNECTION_BYTES: usize = 18 * 1024;
/// Sizes of hyper's read buffer, bytes, which are the longest heads too: the larger one where the memory has room for as many
/// of them as there may be connections.
const SMALL_READ_BUFFER: usize = 8 * 1024;
const LARGE_READ_BUFFER: usize = 16 * 1024;
/// Connections may take this share of the memory at the most, and everything else the other one: the second is larger than
/// what the first leaves, as hardly ever all connections are open.
const CONNECTIONS_SHARE: f64 = 0.85;
const BUFFERS_SHARE: f64 = 0.38;
/// The heap that a process has in any case, if its limit is not lower still: enough for a few connections.
const LEAST_HEAP_BYTES: usize = 1024 * 1024;
/// Of two processes of a node one may use this share of the limit as long as it knows of no other, and this one until it knows
/// whether there is another.
const ALONE_SHARE: f64 = 0.55;
const STARTING_SHARE: f64 = 0.35;
/// Share of the limit that two processes of a node divide: each knows what the other one holds a moment late.
const DIVIDED_SHARE: f64 = 0.92;

/// What bytes are reserved for. Each may use the memory for buffers only up to a share of it: what can wait, or be refused
/// without harm, leaves some to what can't.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A request's body, or a piece of one that is read ahead of its server.
    RequestBody,
    /// Requests that are peeked at before their turn.
    Lookahead,
    /// An answer that is passed on while it arrives.
    StreamedAnswer,
    /// The part of an answer that is more than a small one.
    LargeAnswer,
    /// A request without its body.
    Request,
    /// An answer as far as it is small.
    Answer,
}

impl Purpose {
    fn share(self) -> f64 {
        match self {
            Self::Lookahead => 0.25,
            Self::RequestBody | Self::StreamedAnswer => 0.5,
            Self::LargeAnswer => 0.65,
            Self::Request => 0.8,
            Self::Answer => 1.0,
        }
    }
}

/// How the memory limit is divided.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Bytes of the heap that may be in use.
    heap: usize,
    /// Bytes for everything but connections, if few are open.
    buffers: usize,
    /// Size of a connection's read buffer, bytes.
    pub read_buffer: usize,
}

impl MemoryPlan {
    /// Divides what a process with so many connections may use, in bytes.
    pub fn new(limit: usize, connections: usize) -> Self {
        let beside_idle = limit.saturating_sub(IDLE_PROCESS_BYTES) as f64 * (1.0 - ALLOCATOR_SHARE);
        let heap = (beside_idle as usize).max(limit.min(LEAST_HEAP_BYTES));
        let buffers = (heap as f64 * BUFFERS_SHARE) as usize;
        let plan = |read_buffer| Self { heap, buffers, read_buffer };
        let large = plan(LARGE_READ_BUFFER);
        if large.max_connections() >= connections { large } else { plan(SMALL_READ_BUFFER) }
    }

    fn connection_bytes(&self) -> usize {
        CONNECTION_BYTES + self.read_buffer
    }

    /// Connections that there is memory for.
    pub fn max_connections(&self) -> usize {
        (self.heap as f64 * CONNECTIONS_SHARE) as usize / self.connection_bytes()
    }

    /// Bytes that may be reserved for this purpose while so many connections are open.
    pub fn max_bytes(&self, purpose: Purpose, connections: usize) -> usize {
        let beside_connections = self.heap.saturating_sub(connections * self.connection_bytes());
        (self.buffers.min(beside_connections) as f64 * purpose.share()) as usize
    }

    /// Whether one more connection leaves the memory for what is reserved.
    pub fn has_room_for_connection(&self, connections: usize, reserved: usize) -> bool {
        (connections + 1) * self.connection_bytes() + reserved <= self.heap
    }

    /// Whether the heap has room for so many bytes more, whatever they are.
    pub fn heap_has_room(&self, used: usize, bytes: usize) -> bool {
        used + bytes <= self.heap
    }
}

/// The part of a node's limit that this process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sharing {
    /// No other process of the node can run.
    Single,
    /// Another process may be running.
    Starting,
    /// None is, but one may start at any time.
    Alone,
    /// Others are running, and hold so many bytes together.
    With { processes: usize, bytes: usize },
}

impl Sharing {
    pub fn part_of(self, limit: usize) -> usize {
        match self {
            Self::Single => limit,
            Self::Starting => (limit as f64 * STARTING_SHARE) as usize,
            Self::Alone => (limit as f64 * ALONE_SHARE) as usize,
            Self::With { processes, bytes } => {
                let divided = (limit as f64 * DIVIDED_SHARE) as usize;
                let theirs = divided / (processes + 1) * processes;
                divided.saturating_sub(bytes.max(theirs))
            }
        }
    }
}

/// The bytes that are reserved.
#[derive(Debug, Default, Clone)]
pub struct MemoryAccount(Arc<Balance>);

#[derive(Debug, Default)]
struct Balance {
    bytes: AtomicUsize,
    /// Notified when bytes are released.
    released: Notify,
}

impl MemoryAccount {
    pub fn bytes(&self) -> usize {
        self.0.bytes.load(Ordering::Relaxed)
    }

    /// Reserves bytes if no more than `limit` are reserved then.
    pub fn reserve(&self, bytes: usize, limit: usize) -> Option<ReservedBytes> {
        (self.bytes() + bytes <= limit).then(|| {
            self.0.bytes.fetch_add(bytes, Ordering::Relaxed);
            ReservedBytes { account: self.clone(), bytes }
        })
    }

    /// Waits until bytes are released.
    pub async fn released(&self) {
        self.0.released.notified().await;
    }
}

/// Bytes reserved in an account, until dropped.
#[derive(Debug)]
pub struct ReservedBytes {
    account: MemoryAccount,
    bytes: usize,
}

impl ReservedBytes {
    /// Adds another reservation to this one.
    pub fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.account.0.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
            self.account.0.released.notify_waiters();
        }
    }
}

/// Data with the reservation for it.
struct ReservedData<T, M> {
    data: T,
    _memory: M,
}

impl<T: AsRef<[u8]>, M> AsRef<[u8]> for ReservedData<T, M> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}

/// Data whose reservation is kept until its last byte has been written or dropped, wherever it is by then.
pub fn reserved_data(data: impl AsRef<[u8]> + Send + 'static, memory: impl Send + 'static) -> Bytes {
    Bytes::from_owner(ReservedData { data, _memory: memory })
}

#[cfg(test)]
mod tests;
