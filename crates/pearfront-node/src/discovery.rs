//! Keeps the server list up to date from the discovery service, and translates its ids and addresses to those
//! the decision module uses. `dispatcher`, `guard`, `probe` and `lease_monitor` ask it which servers may be used.

mod roster;

pub use roster::ServerLocation;

use crate::capacity::ConnectionSlot;
use crate::clock::Clock;
use crate::connection_pool::{ConnectionPool, HttpConnection, IdleConnection};
use crate::counters::Counters;
use crate::dispatcher::EventQueue;
use crate::handover::Peers;
use crate::lease::{CallOutcome, LeaseRules, Leases, WRITE_DELAY_MARGIN_MS};
use crate::logger::WarnLimiter;
use crate::message::{self, ServerEntry, ServerList};
use crate::runtime_settings::SharedSettings;
use crate::stall_monitor::StallMonitor;
use crate::wall_clock::{self, WallClock};
use crate::watch::{self, Backoff, CallReport, DiscoveryService, Failure};
use pearfront::interface::{Address, ListedServer, ServerState};
use pearfront::rng::SeededRng;
use pearfront_settings::JsonField;
use roster::Roster;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Longest time between the head of an answer and its end: discovery has the list by then and only has to
/// write it.
const LIST_BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// First pause after a failed call, ms, and longest pause as a share of the age up to which the settings let
/// a node use a list, where lists are polled.
const POLL_FIRST_PAUSE_MS: f64 = 1500.0;
const POLL_LONGEST_PAUSE_SHARE: f64 = 0.75;
/// The same where lists are pushed; the longest is a share of the drain grace, since what discovery has
/// counts as delivered all the while, also at its return.
const PUSH_FIRST_PAUSE_MS: f64 = 20.0;
const PUSH_LONGEST_PAUSE_SHARE: f64 = 0.25;
/// A list that arrives this long after the last one, ms, is logged: the calls in between failed.
const LATE_LIST_MS: f64 = 4000.0;
/// How long it is remembered when a server left the ready ones, ms.
const LEFT_RETENTION_MS: f64 = 120_000.0;
/// Largest body of a list, bytes: enough for thousands of servers.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// The id by which the decision module knows a server: its address and port.
pub fn encode_address(address: SocketAddrV4) -> Address {
    let ([a, b, c, d], [high, low]) = (address.ip().octets(), address.port().to_be_bytes());
    [a, b, c, d, high, low]
}

/// The address and port that such an id stands for.
pub fn decode_address([a, b, c, d, high, low]: Address) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(a, b, c, d).into(), u16::from_be_bytes([high, low]))
}

/// The lease rules under the current settings.
fn lease_rules(settings: &SharedSettings) -> LeaseRules {
    let settings = settings.current();
    LeaseRules {
        pushed: !settings.policy_settings.discovery_on_request,
        drain_grace_ms: settings.node_settings.drain_grace,
    }
}

/// Translates an entry for the decision module; `start` converts its start from Unix time to the node's time.
pub fn listed_server(entry: &ServerEntry, start: impl Fn(f64) -> f64) -> ListedServer {
    ListedServer {
        address: encode_address(entry.address),
        state: entry.state,
        cell: entry.cell,
        zone: entry.zone,
        machine_type: entry.machine_type,
        weight: entry.weight,
        started_at: entry.started.map_or(f64::NEG_INFINITY, start),
    }
}

/// The parts of the node that discovery works with.
pub struct Dependencies {
    pub clock: Clock,
    pub settings: Rc<SharedSettings>,
    pub pool: Rc<ConnectionPool>,
    pub counters: Rc<Counters>,
    pub event_queue: Rc<EventQueue>,
    pub peers: Rc<Peers>,
}

/// The server list, and the calls that keep it up to date.
pub struct Discovery {
    service: Cell<SocketAddr>,
    /// Notified when the service has a new address.
    service_moved: Notify,
    wall: WallClock,
    /// When the last list came from the service.
    last_list_at: Cell<Option<f64>>,
    settings: Rc<SharedSettings>,
    event_queue: Rc<EventQueue>,
    pool: Rc<ConnectionPool>,
    counters: Rc<Counters>,
    /// Other processes of this node.
    pub peers: Rc<Peers>,
    roster: RefCell<Roster>,
    leases: Leases,
    /// Notified when a probe of a server succeeded.
    server_confirmed: Notify,
    /// When servers began to drain or left, ms.
    left_at: RefCell<BTreeMap<SocketAddr, f64>>,
    clock: Clock,
    stall_monitor: Rc<StallMonitor>,
    list_version: Cell<u64>,
    /// The watch's connection between its calls.
    watch_connection: RefCell<Option<IdleConnection>>,
    /// Random source for the jitter of the watch's pauses; taken when the watch starts.
    jitter: Cell<Option<SeededRng>>,
    /// Notified when a list has come from the service.
    list_received: Notify,
    invalid_entries: WarnLimiter,
    failure_log: WarnLimiter,
}

impl Discovery {
    pub fn new(service: SocketAddr, dependencies: Dependencies) -> Rc<Self> {
        let Dependencies { clock, settings, pool, counters, event_queue, peers } = dependencies;
        let leases = Leases::default();
        leases.start(lease_rules(&settings), clock.now());
        Rc::new(Self {
            service: Cell::new(service),
            service_moved: Notify::new(),
            wall: WallClock::default(),
            last_list_at: Cell::new(None),
            leases,
            server_confirmed: Notify::new(),
            left_at: RefCell::default(),
            clock,
            stall_monitor: clock.stall_monitor(),
            settings,
            event_queue,
            pool,
            counters,
            peers,
            roster: RefCell::default(),
            list_version: Cell::new(0),
            watch_connection: RefCell::default(),
            jitter: Cell::new(Some(SeededRng::default())),
            list_received: Notify::new(),
            invalid_entries: WarnLimiter::default(),
            failure_log: WarnLimiter::default(),
        })
    }

    /// Does the list show the server as ready?
    pub fn is_ready(&self, server: SocketAddr) -> bool {
        self.roster.borrow().is_ready(server)
    }

    /// The time until which the list may be relied on, ms on the node's clock.
    pub fn list_lease_until(&self) -> f64 {
        self.leases.list_expiry(self.lease_rules())
    }

    /// The time until which requests may be sent to the server, provided that the list shows it as ready.
    pub fn lease_until(&self, server: SocketAddr) -> f64 {
        self.leases.server_expiry(self.lease_rules(), server)
    }

    /// May a new attempt be sent to the server? The list must show it as ready, and either the list or a
    /// probe of the server must be recent enough.
    pub fn may_send(&self, server: SocketAddr) -> bool {
        self.is_ready(server) && self.clock.now() <= self.lease_until(server)
    }

    /// Was sending to the server forbidden at that time? Either it has not been ready for longer than the
    /// grace, or nothing recent enough says that it is.
    pub fn is_overdue(&self, server: SocketAddr, now: f64) -> bool {
        let grace = self.settings.current().node_settings.drain_grace;
        let left = self.left_at.borrow().get(&server).is_some_and(|at| now > at + grace);
        if self.is_ready(server) { now > self.lease_until(server) + WRITE_DELAY_MARGIN_MS } else { left }
    }

    /// The zone and cell of the server at this address.
    pub fn location_of(&self, server: SocketAddr) -> Option<ServerLocation> {
        self.roster.borrow().location_of(server)
    }

    /// Records a successful probe of the server that began at that time.
    pub fn confirm(&self, server: SocketAddr, at: f64) {
        self.leases.confirm(server, at);
        self.server_confirmed.notify_one();
    }

    /// Waits for the next successful probe of any server.
    pub async fn server_confirmed(&self) {
        self.server_confirmed.notified().await;
    }

    /// How long a successful probe allows sending to its server, ms.
    pub fn confirmation_lifetime_ms(&self) -> f64 {
        self.leases.confirmation_lifetime_ms(self.lease_rules())
    }

    /// The ready servers, as the decision module takes them.
    pub fn ready(&self) -> Vec<ListedServer> {
        self.roster.borrow().ready().map(|entry| self.listed_server(entry)).collect()
    }

    fn listed_server(&self, entry: &ServerEntry) -> ListedServer {
        let (now, absent_at) = (self.clock.now(), self.last_list_at.get());
        listed_server(entry, |unix| self.wall.start_of(&entry.id, unix, now, absent_at))
    }

    fn lease_rules(&self) -> LeaseRules {
        lease_rules(&self.settings)
    }

    /// Applies a list and passes its changes to the decision module; `may_be_old` if it did not come from the
    /// service just now.
    pub fn apply_list(&self, list: ServerList, may_be_old: bool) {
        self.counters.lists.add();
        self.list_version.set(list.version);
        for (_, problem) in &list.invalid {
            self.counters.list_lines_dropped.add();
            self.invalid_entries.warn(format_args!("invalid list entry dropped: {problem}"));
        }
        let version = list.version;
        let (entries, stale) = self.roster.borrow_mut().update(list);
        let now = self.clock.now();
        let mut left = self.left_at.borrow_mut();
        left.retain(|_, at| now - *at < LEFT_RETENTION_MS);
        for entry in &entries {
            if entry.state == ServerState::Ready {
                left.remove(&entry.address.into());
                continue;
            }
            left.entry(entry.address.into()).or_insert(now);
            log::info!("server {} at {} is {:?}, version {version}", entry.id, entry.address, entry.state);
        }
        for server in stale {
            self.pool.close_idle(server);
            self.leases.forget(server);
        }
        self.wall.observe(wall_clock::unix_now(), now);
        let entries: Vec<ListedServer> = entries.iter().map(|entry| self.listed_server(entry)).collect();
        if entries.iter().any(|entry| entry.state == ServerState::Gone) {
            self.wall.retain_servers(|server| self.roster.borrow().entries.contains_key(server));
        }
        if !may_be_old {
            self.last_list_at.set(Some(now));
            self.list_received.notify_waiters();
        }
        self.event_queue.push(move |balancer| {
            balancer.list_received(false, may_be_old, entries.into_iter());
        });
    }

    /// The full list as last received, in the format of the discovery protocol.
    pub fn as_json(&self) -> Value {
        let (roster, settings) = (self.roster.borrow(), self.settings.current());
        message::encode_list(self.list_version.get(), roster.entries.values(), &settings.node_settings)
    }

    /// Applies the list of another process of this node, unless this process has a newer one.
    pub fn apply_peer_list(&self, list: &Value) -> Result<(), String> {
        let list = message::decode_list_json(
            &JsonField::root(list, "list"),
            &self.settings.current().node_settings,
        )?;
        if list.version > self.list_version.get() {
            self.apply_list(list, true);
        }
        Ok(())
    }

    /// Waits for the next list from the service.
    pub async fn list_received(&self) {
        self.list_received.notified().await;
    }

    /// Sets the random source for the jitter of the watch's pauses; without effect once the watch has
    /// started.
    pub fn set_jitter(&self, jitter: SeededRng) {
        if self.jitter.take().is_some() {
            self.jitter.set(Some(jitter));
        }
    }

    /// Starts the watch unless it runs already. It goes on by itself, whether lists are pushed or polled.
    pub fn start_watch(self: &Rc<Self>) {
        if let Some(rng) = self.jitter.take() {
            let discovery = self.clone();
            spawn_local(async move { watch::run(&*discovery, rng).await });
        }
    }

    /// Sets a new address of the service. A running watch uses it from its next call on; a pause after a
    /// failure concerned the old address and ends.
    pub fn set_service(self: &Rc<Self>, service: SocketAddr) {
        if self.service.replace(service) != service {
            self.leases.service_moved(self.clock.now());
            self.service_moved.notify_waiters();
            self.start_watch();
        }
    }

    /// The monitor that shows since when the process has been running without a stall.
    pub fn stall_monitor(&self) -> Rc<StallMonitor> {
        self.stall_monitor.clone()
    }

    /// The earliest time at which data that is read now can have arrived.
    fn earliest_arrival(&self) -> f64 {
        self.stall_monitor.earliest_arrival(self.clock.now())
    }

    /// The watch's kept connection, or a new one.
    async fn connection(&self, new_connection: bool) -> io::Result<HttpConnection> {
        let idle = self.watch_connection.take().filter(|_| !new_connection);
        if let Some(idle) = idle
            && let Ok(connection) = idle.rested().await
        {
            return Ok(connection);
        }
        HttpConnection::open(
            self.service.get(),
            ConnectionSlot::uncounted(),
            self.peers.capacity.read_buffer_bytes(),
        )
        .await
    }
}

impl DiscoveryService for Discovery {
    async fn call(&self, new_connection: bool, hold_ms: f64) -> Result<(), Failure> {
        let (service, from) = (self.service.get(), self.list_version.get());
        let record = |outcome| self.leases.record_call(self.lease_rules(), outcome);
        let mut watch_connection = self.connection(new_connection).await.map_err(|error| {
            // Any other error may be this machine's fault.
            if error.kind() == io::ErrorKind::ConnectionRefused {
                record(CallOutcome::Unreachable { since: self.earliest_arrival() });
            }
            Failure::Unavailable(format!("no connection: {error}"))
        })?;
        let call = message::encode_list_request(&service.to_string(), from, hold_ms);
        let (head, body) = watch_connection.send(call).await.map_err(|()| {
            // Discovery is down, or the call has waited too long.
            record(CallOutcome::Rejected { since: self.earliest_arrival() });
            Failure::Unavailable("connection broke".into())
        })?;
        let at = self.earliest_arrival();
        if head.status != hyper::StatusCode::OK {
            record(CallOutcome::Rejected { since: at });
            return Err(Failure::Unavailable(format!("answered {}", head.status)));
        }
        // Recorded now, whatever becomes of the rest of the body.
        let record_truncated = || record(CallOutcome::Truncated { at, until: self.clock.now() });
        let truncated = |problem| {
            record_truncated();
            Failure::Truncated(problem)
        };
        record_truncated();
        let body = timeout(LIST_BODY_TIMEOUT, message::read_whole(body, MAX_LIST_BYTES)).await;
        let body = body.map_err(|_| truncated("a list that stalled".into()))?;
        let body = body.map_err(|()| truncated("a list that broke off".into()))?;
        let list = message::decode_list(&body, &self.settings.current().node_settings).map_err(truncated)?;
        // A list from the old address does not show all that the new one has.
        if service == self.service.get() {
            record(CallOutcome::ListReceived { at });
        }
        // Another process may have passed on a newer list meanwhile; an older one must not undo it.
        if list.version >= self.list_version.get() || self.list_version.get() == from {
            self.apply_list(list, false);
        }
        if watch_connection.wait_until_free().await {
            self.watch_connection.replace(Some(IdleConnection::new(watch_connection)));
        }
        Ok(())
    }

    async fn service_moved(&self) {
        self.service_moved.notified().await;
    }

    fn backoff(&self) -> Backoff {
        let settings = self.settings.current();
        if settings.policy_settings.discovery_on_request {
            Backoff {
                first_ms: POLL_FIRST_PAUSE_MS,
                longest_ms: settings.policy_settings.list_request_deadline * POLL_LONGEST_PAUSE_SHARE,
            }
        } else {
            Backoff {
                first_ms: PUSH_FIRST_PAUSE_MS,
                longest_ms: (settings.node_settings.drain_grace * PUSH_LONGEST_PAUSE_SHARE)
                    .max(PUSH_FIRST_PAUSE_MS),
            }
        }
    }

    fn call_finished(&self, call: &CallReport) {
        let CallReport { new_connection, hold_ms, took_ms, since_last_list_ms, failure } = call;
        let way = if *new_connection { "new" } else { "kept" };
        let version = self.list_version.get();
        if matches!(failure, Some(Failure::TimedOut(_))) {
            self.leases.record_call(self.lease_rules(), CallOutcome::TimedOut { at: self.clock.now() });
        }
        match failure {
            Some(problem) => log::info!(
                "discovery call failed: {problem}; {way} connection, held {hold_ms:.0} ms, took {took_ms:.0} ms, version {version}, \
                 last list {since_last_list_ms:.0} ms ago"
            ),
            None if *new_connection || *since_last_list_ms > LATE_LIST_MS => log::info!(
                "discovery call answered: {way} connection, held {hold_ms:.0} ms, took {took_ms:.0} ms, version {version}, \
                 previous list {since_last_list_ms:.0} ms before"
            ),
            None => {}
        }
    }

    fn call_failed(&self, problem: &Failure, again: bool) {
        if again {
            self.failure_log.warn(format_args!("list requested again: {problem}"));
        } else {
            self.counters.lists_failed.add();
            self.failure_log.warn(format_args!("discovery watch ended: {problem}"));
        }
    }
}

#[cfg(test)]
mod tests;
