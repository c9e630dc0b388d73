//! The role of discovery: serves the list of servers to each process of a node at an address of that process's own, and injects
//! faults into its answers.

use crate::clock;
use crate::http::{Connection, Message, answer};
use crate::record::{DiscoveryMode, Lifecycle, Record, Recorder};
use crate::role::{DiscoveryRole, Order, Orders, listen};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// Bytes of a fragment of an answer, and the pause after it, ms.
const FRAGMENT_BYTES: usize = 97;
const FRAGMENT_PAUSE_MS: u64 = 15;
/// How long a call waits, ms, before overloaded discovery rejects it; some are rejected at once.
const OVERLOAD_DELAY_MS: u64 = 600;

/// A server in the list, and the version of its last change.
struct ListEntry {
    version: u64,
    lifecycle: Lifecycle,
    started_unix: f64,
}

struct Discovery {
    role: DiscoveryRole,
    recorder: Recorder,
    rng: RefCell<ChaCha8Rng>,
    mode: Cell<DiscoveryMode>,
    /// Number of changes of the mode.
    epoch: Cell<u64>,
    version: Cell<u64>,
    entries: RefCell<BTreeMap<usize, ListEntry>>,
    moved: RefCell<Vec<bool>>,
    /// Notified at each change of the list or the mode.
    changed: Notify,
}

/// Serves the list to all subscribers until the orders end.
pub async fn run(recorder: Recorder, role: DiscoveryRole, mut orders: Orders) -> Result<(), String> {
    let addresses = role.addresses.clone();
    let discovery = Rc::new(Discovery {
        recorder,
        rng: RefCell::new(ChaCha8Rng::seed_from_u64(role.seed)),
        mode: Cell::new(DiscoveryMode::Normal),
        epoch: Cell::new(0),
        version: Cell::new(1),
        entries: RefCell::default(),
        moved: RefCell::new(vec![false; addresses.len()]),
        changed: Notify::new(),
        role,
    });
    for (subscriber, addresses) in addresses.into_iter().enumerate() {
        for (address_index, address) in addresses.into_iter().enumerate() {
            spawn_local(discovery.clone().accept(listen(address)?, subscriber, address_index));
        }
    }
    while let Some(order) = orders.next().await {
        discovery.handle_order(order);
    }
    Ok(())
}

impl Discovery {
    fn handle_order(&self, order: Order) {
        match order {
            Order::Publish { server, version, lifecycle, started_unix } => {
                self.entries.borrow_mut().insert(server, ListEntry { version, lifecycle, started_unix });
                self.version.set(version);
            }
            Order::Discovery { mode } => {
                self.mode.set(mode);
                self.epoch.set(self.epoch.get() + 1);
            }
            Order::Moved { subscriber } => self.moved.borrow_mut()[subscriber] = true,
            _ => {}
        }
        self.changed.notify_waiters();
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, subscriber: usize, address_index: usize) {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(self.clone().serve(Connection::new(stream), subscriber, address_index));
        }
    }

    /// Whether this is the first address of a subscriber that has moved to its second.
    fn has_moved_away(&self, subscriber: usize, address_index: usize) -> bool {
        address_index == 0 && self.moved.borrow()[subscriber]
    }

    async fn serve(self: Rc<Self>, mut connection: Connection, subscriber: usize, address_index: usize) {
        let opened = self.epoch.get();
        let watch = |open| self.recorder.write(&Record::Watch { subscriber, open, at: clock::now() });
        watch(true);
        let reset = self.answer_calls(&mut connection, subscriber, address_index, opened).await;
        watch(false);
        if reset {
            connection.reset();
        }
    }

    /// Answers the calls on a connection until it ends; true if it is to be reset.
    async fn answer_calls(
        &self,
        connection: &mut Connection,
        subscriber: usize,
        address_index: usize,
        opened: u64,
    ) -> bool {
        loop {
            let call = tokio::select! {
                call = connection.message() => call,
                () = self.until_reset(subscriber, address_index) => return true,
            };
            let Some(call) = call else { return false };
            if self.answer(connection, &call, subscriber, address_index, opened).await.is_none() {
                return true;
            }
        }
    }

    /// Waits until connections at this address are to be reset.
    async fn until_reset(&self, subscriber: usize, address_index: usize) {
        loop {
            let changed = self.changed.notified();
            if self.mode.get() == DiscoveryMode::Down || self.has_moved_away(subscriber, address_index) {
                return;
            }
            changed.await;
        }
    }

    /// Answers a call; `None` if the connection is to be reset.
    async fn answer(
        &self,
        connection: &mut Connection,
        call: &Message,
        subscriber: usize,
        address_index: usize,
        opened: u64,
    ) -> Option<()> {
        let (from, hold) = (call.query("from")?, call.query("hold_ms")?);
        let until = Instant::now() + Duration::from_millis(hold);
        loop {
            let changed = self.changed.notified();
            let mode = self.mode.get();
            match mode {
                DiscoveryMode::Down => return None,
                _ if self.has_moved_away(subscriber, address_index) => return None,
                DiscoveryMode::Overloaded(percent) if self.happens(percent) => {
                    let pause = if self.happens(50) { 0 } else { OVERLOAD_DELAY_MS };
                    sleep(Duration::from_millis(pause)).await;
                    return connection.write(&answer("503 Busy", "", b"")).await.ok();
                }
                DiscoveryMode::Silent => changed.await,
                // Connections that were open when the mode began get no more answers.
                DiscoveryMode::SilentOpen if opened < self.epoch.get() => changed.await,
                _ if self.version.get() > from || Instant::now() >= until => break,
                _ => tokio::select! {
                    () = changed => {}
                    () = sleep_until(until) => {}
                },
            }
        }
        if let DiscoveryMode::Slow(ms) = self.mode.get() {
            sleep(Duration::from_millis(ms)).await;
        }
        self.write(connection, from, subscriber).await
    }

    fn happens(&self, percent: u8) -> bool {
        self.rng.borrow_mut().random_range(0..100) < percent
    }

    async fn write(&self, connection: &mut Connection, from: u64, subscriber: usize) -> Option<()> {
        // The subscriber has closed the connection meanwhile, so nobody would get the list.
        if connection.has_ended() {
            return None;
        }
        let (version, mode) = (self.version.get(), self.mode.get());
        let body = self.list(from).to_string();
        let bytes = answer("200 OK", "", body.as_bytes());
        let cut = matches!(mode, DiscoveryMode::Truncated(percent) if self.happens(percent));
        self.recorder.write(&Record::ListSent { subscriber, version, at: clock::now(), whole: !cut });
        if cut {
            connection.write(&bytes[..bytes.len() - body.len() / 2]).await.ok()?;
            // So that the truncated answer reaches the node before the reset does.
            sleep(Duration::from_millis(FRAGMENT_PAUSE_MS)).await;
            return None;
        }
        if mode == DiscoveryMode::Fragmented {
            for piece in bytes.chunks(FRAGMENT_BYTES) {
                connection.write(piece).await.ok()?;
                sleep(Duration::from_millis(FRAGMENT_PAUSE_MS)).await;
            }
            return Some(());
        }
        connection.write(&bytes).await.ok()
    }

    fn list(&self, from: u64) -> Value {
        let entries = self.entries.borrow();
        let whole = self.role.whole_lists || from == 0;
        let wanted = |entry: &&(&usize, &ListEntry)| match whole {
            true => entry.1.lifecycle == Lifecycle::Ready,
            false => entry.1.version > from,
        };
        let all: Vec<_> = entries.iter().collect();
        let instances: Vec<Value> =
            all.iter().filter(wanted).map(|(server, entry)| self.list_entry(**server, entry)).collect();
        json!({"generation": self.version.get(), "reset": whole, "instances": instances})
    }

    fn list_entry(&self, server: usize, line: &ListEntry) -> Value {
        entry(server, self.role.servers[server], line.lifecycle, line.started_unix)
    }
}

/// The cell of a server: repeats of a keyed request are dropped only within one cell.
pub fn cell_of(server: usize) -> usize {
    server % 2
}

/// An entry of the list, as nodes read it.
pub fn entry(
    server: usize,
    address: std::net::SocketAddrV4,
    lifecycle: Lifecycle,
    started_unix: f64,
) -> Value {
    let lifecycle = match lifecycle {
        Lifecycle::Ready => "Ready",
        Lifecycle::Draining => "Terminating",
        Lifecycle::Gone => "Gone",
    };
    json!({"instanceId": format!("s-{server}"), "hostPort": address.to_string(), "zone": "a",
        "machineType": "m", "cell": cell_of(server), "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started_unix})
}
