//! Watches discovery's list, and turns its ids and addresses into what the module knows servers by.

mod roster;

pub use roster::ServerLocation;

use crate::capacity::ConnectionSlot;
use crate::clock::Clock;
use crate::connection_pool::{ConnectionPool, HttpConnection};
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

/// Longest between an answer's head and its end: it has the list by then, and only has to write it.
const LIST_BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Pauses behind failed calls, ms. Where lists are asked for, the first, and the longest as a share of the time for which
/// the settings let a node go by an old list.
const POLL_FIRST_PAUSE_MS: f64 = 1500.0;
const POLL_LONGEST_PAUSE_SHARE: f64 = 0.75;
/// Where lists come by themselves, the first, and the longest as a share of the grace of drains: what the service has counts
/// as told all the while, also at its return.
const PUSH_FIRST_PAUSE_MS: f64 = 20.0;
const PUSH_LONGEST_PAUSE_SHARE: f64 = 0.25;
/// A list that comes so long after the last one, ms, is told in the log: the calls between them were not well.
const LATE_LIST_MS: f64 = 4000.0;
/// How long it is remembered when a server left, ms.
const LEFT_RETENTION_MS: f64 = 120_000.0;
/// Longest body of a list, bytes: thousands of servers.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// The module's word for an address, which is the address itself.
pub fn encode_address(address: SocketAddrV4) -> Address {
    let ([a, b, c, d], [high, low]) = (address.ip().octets(), address.port().to_be_bytes());
    [a, b, c, d, high, low]
}

/// The address that the module's word stands for.
pub fn decode_address([a, b, c, d, high, low]: Address) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(a, b, c, d).into(), u16::from_be_bytes([high, low]))
}

/// How changes count as told by the settings in force.
fn lease_rules(settings: &SharedSettings) -> LeaseRules {
    let settings = settings.current();
    LeaseRules {
        pushed: !settings.policy_settings.discovery_on_request,
        drain_grace_ms: settings.node_settings.drain_grace,
    }
}

/// A line in the module's terms; `start` gives its start in the node's time.
pub fn listing(entry: &ServerEntry, start: impl Fn(f64) -> f64) -> ListedServer {
    ListedServer {
        address: encode_address(entry.address),
        state: entry.standing,
        cell: entry.cell,
        zone: entry.zone,
        machine_type: entry.machine_type,
        weight: entry.weight,
        started_at: entry.started.map_or(f64::NEG_INFINITY, start),
    }
}

/// The other stages that discovery works with.
pub struct Dependencies {
    pub clock: Clock,
    pub settings: Rc<SharedSettings>,
    pub pool: Rc<ConnectionPool>,
    pub book: Rc<Counters>,
    pub inbox: Rc<EventQueue>,
    pub peers: Rc<Peers>,
}

/// What discovery has told, and the calls that ask for it.
pub struct Discovery {
    service: Cell<SocketAddr>,
    /// Rung when the service has moved.
    service_moved: Notify,
    wall: WallClock,
    /// When a list was heard last.
    last_list_at: Cell<Option<f64>>,
    settings: Rc<SharedSettings>,
    inbox: Rc<EventQueue>,
    pool: Rc<ConnectionPool>,
    book: Rc<Counters>,
    /// Other processes of this node.
    pub peers: Rc<Peers>,
    roster: RefCell<Roster>,
    leases: Leases,
    /// Rung when a server has answered a probe well.
    server_confirmed: Notify,
    /// When servers were told to drain or go, ms.
    left_at: RefCell<BTreeMap<SocketAddr, f64>>,
    clock: Clock,
    stall_monitor: Rc<StallMonitor>,
    list_version: Cell<u64>,
    /// The watch's connection between its calls.
    watch_connection: RefCell<Option<HttpConnection>>,
    /// What spreads the watch's pauses, until it begins.
    jitter: Cell<Option<SeededRng>>,
    /// Rung when a list has come from the service.
    list_received: Notify,
    invalid_entries: WarnLimiter,
    failure_log: WarnLimiter,
}

impl Discovery {
    pub fn new(service: SocketAddr, dependencies: Dependencies) -> Rc<Self> {
        let Dependencies { clock, settings, pool, book, inbox, peers } = dependencies;
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
            inbox,
            pool,
            book,
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

    /// Does the list have the server as ready?
    pub fn is_ready(&self, server: SocketAddr) -> bool {
        self.roster.borrow().is_ready(server)
    }

    /// Until when the list may be gone by, ms on the node's clock.
    pub fn list_lease_until(&self) -> f64 {
        self.leases.list_expiry(self.lease_rules())
    }

    /// Until when the server may be sent to, as long as the list has it as ready.
    pub fn lease_until(&self, server: SocketAddr) -> f64 {
        self.leases.server_expiry(self.lease_rules(), server)
    }

    /// May the server be sent something new? The list has it as ready, and is young enough or the server has said so itself.
    pub fn may_send(&self, server: SocketAddr) -> bool {
        self.is_ready(server) && self.clock.now() <= self.lease_until(server)
    }

    /// Did the server have to be left alone by that time? Either it has left the ready ones for longer than the grace, or
    /// nothing says any more that it has not.
    pub fn is_overdue(&self, server: SocketAddr, now: f64) -> bool {
        let grace = self.settings.current().node_settings.drain_grace;
        let left = self.left_at.borrow().get(&server).is_some_and(|at| now > at + grace);
        if self.is_ready(server) { now > self.lease_until(server) + WRITE_DELAY_MARGIN_MS } else { left }
    }

    /// Where the server at this address stands.
    pub fn location_of(&self, server: SocketAddr) -> Option<ServerLocation> {
        self.roster.borrow().location_of(server)
    }

    /// The server answered a probe well that was begun at that time.
    pub fn confirm(&self, server: SocketAddr, at: f64) {
        self.leases.confirm(server, at);
        self.server_confirmed.notify_one();
    }

    /// Waits until a server has answered a probe well.
    pub async fn server_confirmed(&self) {
        self.server_confirmed.notified().await;
    }

    /// How long a server may be sent to by its own word, ms.
    pub fn confirmation_lifetime_ms(&self) -> f64 {
        self.leases.confirmation_lifetime_ms(self.lease_rules())
    }

    /// The servers that the list has as ready, in the module's terms.
    pub fn ready(&self) -> Vec<ListedServer> {
        self.roster.borrow().ready().map(|entry| self.listing(entry)).collect()
    }

    fn listing(&self, entry: &ServerEntry) -> ListedServer {
        let (now, absent_at) = (self.clock.now(), self.last_list_at.get());
        listing(entry, |unix| self.wall.start_of(&entry.id, unix, now, absent_at))
    }

    fn lease_rules(&self) -> LeaseRules {
        lease_rules(&self.settings)
    }

    /// Hands a list to the module; `known` if it may be old.
    pub fn apply_list(&self, list: ServerList, may_be_old: bool) {
        self.book.lists.add();
        self.list_version.set(list.version);
        for (_, problem) in &list.invalid {
            self.book.list_lines_dropped.add();
            self.invalid_entries.warn(format_args!("line of the list dropped: {problem}"));
        }
        let version = list.version;
        let (entries, stale) = self.roster.borrow_mut().update(list);
        let now = self.clock.now();
        let mut left = self.left_at.borrow_mut();
        left.retain(|_, at| now - *at < LEFT_RETENTION_MS);
        for entry in &entries {
            if entry.standing == ServerState::Ready {
                left.remove(&entry.address.into());
                continue;
            }
            left.entry(entry.address.into()).or_insert(now);
            log::info!("server {} at {} is {:?}, version {version}", entry.id, entry.address, entry.standing);
        }
        for server in stale {
            self.pool.forget(server);
            self.leases.forget(server);
        }
        self.wall.observe(wall_clock::unix_now(), now);
        let entries: Vec<ListedServer> = entries.iter().map(|entry| self.listing(entry)).collect();
        if entries.iter().any(|entry| entry.state == ServerState::Gone) {
            self.wall.retain_servers(|server| self.roster.borrow().entries.contains_key(server));
        }
        if !may_be_old {
            self.last_list_at.set(Some(now));
            self.list_received.notify_waiters();
        }
        self.inbox.push(move |balancer| {
            balancer.list_received(false, may_be_old, entries.into_iter());
        });
    }

    /// The whole list as last told, in discovery's form.
    pub fn as_json(&self) -> Value {
        let (roster, settings) = (self.roster.borrow(), self.settings.current());
        message::encode_list(self.list_version.get(), roster.entries.values(), &settings.node_settings)
    }

    /// Another process of this node has this list; what this one has been told since may be newer.
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

    /// Waits for the next list that the service gives.
    pub async fn list_received(&self) {
        self.list_received.notified().await;
    }

    /// The watch's pauses are spread by this chance, if it has not begun.
    pub fn set_jitter(&self, jitter: SeededRng) {
        if self.jitter.take().is_some() {
            self.jitter.set(Some(jitter));
        }
    }

    /// Begins the watch, unless it is on: from then on it goes on by itself, whether lists come so or are asked for.
    pub fn start_watch(self: &Rc<Self>) {
        if let Some(chance) = self.jitter.take() {
            let discovery = self.clone();
            spawn_local(async move { watch::run(&*discovery, chance).await });
        }
    }

    /// The service answers elsewhere from now on. A watch that is on goes there with its next call; a pause after
    /// a failure was meant for the old address.
    pub fn set_service(self: &Rc<Self>, service: SocketAddr) {
        if self.service.replace(service) != service {
            self.leases.service_moved(self.clock.now());
            self.service_moved.notify_waiters();
            self.start_watch();
        }
    }

    /// What tells since when the process has been running.
    pub fn stall_monitor(&self) -> Rc<StallMonitor> {
        self.stall_monitor.clone()
    }

    /// Since when that can have come which is read now.
    fn earliest_arrival(&self) -> f64 {
        self.stall_monitor.earliest_arrival(self.clock.now())
    }

    /// The connection that the watch had, or a new one.
    async fn connection(&self, new_connection: bool) -> io::Result<HttpConnection> {
        match self
            .watch_connection
            .take()
            .filter(|watch_connection| !new_connection && watch_connection.is_usable())
        {
            Some(watch_connection) => Ok(watch_connection),
            None => HttpConnection::open(self.service.get(), ConnectionSlot::uncounted()).await,
        }
    }
}

impl DiscoveryService for Discovery {
    async fn call(&self, new_connection: bool, hold_ms: f64) -> Result<(), Failure> {
        let (service, from) = (self.service.get(), self.list_version.get());
        let record = |outcome| self.leases.record_call(self.lease_rules(), outcome);
        let mut watch_connection = self.connection(new_connection).await.map_err(|error| {
            // Anything else may be this machine's fault.
            if error.kind() == io::ErrorKind::ConnectionRefused {
                record(CallOutcome::Unreachable { since: self.earliest_arrival() });
            }
            Failure::Unavailable(format!("no connection: {error}"))
        })?;
        let call = message::encode_list_request(&service.to_string(), from, hold_ms);
        let (head, body) = watch_connection.send(call).await.map_err(|()| {
            // It is down, or the call has waited too long.
            record(CallOutcome::Rejected { since: self.earliest_arrival() });
            Failure::Unavailable("connection broke".into())
        })?;
        let at = self.earliest_arrival();
        if head.status != hyper::StatusCode::OK {
            record(CallOutcome::Rejected { since: at });
            return Err(Failure::Unavailable(format!("answered {}", head.status)));
        }
        // Whatever becomes of the rest.
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
        // What the old place tells is not all that a new one has.
        if service == self.service.get() {
            record(CallOutcome::ListReceived { at });
        }
        // Another process may have told of a later one meanwhile: what is older does not undo it.
        if list.version >= self.list_version.get() || self.list_version.get() == from {
            self.apply_list(list, false);
        }
        if watch_connection.settle().await {
            self.watch_connection.replace(Some(watch_connection));
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
                 last list {since_last_list_ms:.0} ms before"
            ),
            None => {}
        }
    }

    fn call_failed(&self, problem: &Failure, again: bool) {
        if again {
            self.failure_log.warn(format_args!("list asked for again: {problem}"));
        } else {
            self.book.lists_failed.add();
            self.failure_log.warn(format_args!("watch on discovery ended: {problem}"));
        }
    }
}

#[cfg(test)]
mod tests;
