//! One node: the decision module on real sockets, the same program before every tier.

mod accept;
mod accept_queue;
mod admin;
mod answer_sender;
mod arrival;
mod capacity;
mod client_connection;
mod client_service;
mod clock;
mod config;
mod connection_pool;
mod counters;
mod deadline;
mod dial;
mod discovery;
mod dispatcher;
mod framing;
mod guard;
mod handover;
mod inherited;
mod late_answers;
mod lease;
mod lease_monitor;
mod lifecycle;
mod logger;
mod message;
mod probe;
mod read_gate;
mod runtime_settings;
mod stall_monitor;
mod streaming;
mod system;
mod tcp_info;
#[cfg(test)]
mod test_support;
mod tracked_stream;
mod upload;
mod wall_clock;
mod watch;

use accept::Acceptor;
use admin::Admin;
use capacity::Capacity;
use client_service::ClientService;
use clock::Clock;
use config::Config;
use connection_pool::ConnectionPool;
use counters::Counters;
use discovery::Discovery;
use dispatcher::{Dispatcher, EventQueue};
use guard::Guard;
use handover::Peers;
use lease_monitor::LeaseMonitor;
use lifecycle::Lifecycle;
use logger::{InfoLimiter, WarnLimiter};
use pearfront::policy::Balancer;
use pearfront::rng::SeededRng;
use pearfront_cluster::Cluster;
use probe::Prober;
use runtime_settings::{RuntimeSettings, SharedSettings};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::pin;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use system::retry_transient;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout, timeout_at};

/// Connections that the kernel accepts ahead of the node: a burst of all callers at once.
const BACKLOG: u32 = 1024;
/// Longest the node runs on after SIGTERM: the kill comes no sooner than the longest limit, of which at most
/// `LONGEST_COUNTED` counts, and 700 ms.
const AFTER_LIMIT: f64 = 500.0;
const LONGEST_COUNTED: f64 = 3000.0;
/// How long the permit to be away may take to come where the node is told to end: the end comes in any case, within what
/// the platform gives. Without the key nothing is waited for.
const PERMIT: Duration = Duration::from_millis(100);
/// How long a node that may not be alone waits for its first list before it says that it is ready.
const FIRST_LIST: Duration = Duration::from_millis(2500);
/// How long answers that are given only then have to be written.
const LAST_WRITES: Duration = Duration::from_millis(50);
/// Time, ms, between the module's last answers and the node's end: they have to be written.
const LAST_ANSWERS: f64 = 100.0;

fn main() -> ExitCode {
    match config::read().and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("pearfront-node: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn run(config: Config) -> Result<(), String> {
    logger::start();
    let build = || Builder::new_current_thread().enable_all().build();
    let runtime = retry_transient(build).map_err(|error| format!("runtime: {error}"))?;
    LocalSet::new().block_on(&runtime, serve(config))
}

/// Listens at an address; `key` is what it was told by.
fn bind(key: &str, address: SocketAddr) -> Result<TcpListener, String> {
    let bind = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    retry_transient(bind).map_err(|error: std::io::Error| format!("{key}: {address}: {error}"))
}

/// The clients' listener: the platform's, which further processes serve as well, or one of our own.
fn listen(config: &Config) -> Result<TcpListener, String> {
    match config.inherited {
        None => bind("ROUTER_LISTEN", config.listen),
        Some(number) => inherited::listener(number, config.listen)
            .and_then(|listener| TcpListener::from_std(listener).map_err(|error| error.to_string()))
            .map_err(|problem| format!("{}: {problem}", config::INHERITED)),
    }
}

async fn serve(mut config: Config) -> Result<(), String> {
    let told = |kind| retry_transient(|| signal(kind)).map_err(|error| format!("signals: {error}"));
    let (mut end, mut interrupt) = (told(SignalKind::terminate())?, told(SignalKind::interrupt())?);
    let (show, again) = (told(SignalKind::user_defined1())?, told(SignalKind::hangup())?);
    // The operators' address first: if it can't be had, no client is accepted.
    let operators = config.admin.map(|address| bind("admin", address)).transpose()?;
    let listener = listen(&config)?;
    let lifecycle = Rc::new(Lifecycle::new());
    let shared = config.inherited.is_some();
    let (name, address) = (config.name.clone(), config.listen);
    let cluster = config.cluster.take().map(|settings| Cluster::start(settings, &name)).transpose();
    let cluster = cluster.map_err(|problem| format!("config.cluster.{problem}"))?;
    let as_written = config.as_written.clone();
    let settings = SharedSettings::new(std::mem::take(&mut config.settings));
    let place = if shared { Peers::socket_path(&name) } else { None };
    let (take_in, book, discovery) = build(config, &settings, lifecycle.clone());
    log::info!("node {name} listens on {address}");
    if let Some(operators) = operators {
        log::info!(
            "operators call at {}",
            operators.local_addr().map_or_else(|error| error.to_string(), |at| at.to_string())
        );
        spawn_local(Admin::new(lifecycle.clone(), cluster.clone()).serve(operators));
    }
    spawn_local(take_in.clone().close_in_drain());
    let guard = take_in.dispatcher.guard.clone();
    spawn_local(start(shared, place, lifecycle.clone(), guard, discovery.clone()));
    spawn_local(print_counters(show, book.clone(), take_in.capacity.clone(), cluster.clone()));
    spawn_local(read_again(again, as_written, settings.clone(), discovery, take_in.clone()));
    let (clock, last) = (take_in.dispatcher.clock, Cell::new(f64::INFINITY));
    let ended = async {
        tokio::select! {
            _ = end.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("told to end, {} jobs held", take_in.capacity.open_requests());
        if let Some(cluster) = &cluster
            && let Err(problem) = cluster.take_permit(PERMIT).await
        {
            log::warn!("ends without a permit: {problem}");
        }
        let longest = settings.current().node_settings.max_deadline.min(LONGEST_COUNTED) + AFTER_LIMIT;
        last.set(clock.now() + longest);
        let answered = last.get() - LAST_ANSWERS;
        lifecycle.end(
            clock
                .instant_at(answered - client_service::CLOSING_PERIOD_MS)
                .saturating_duration_since(Instant::now()),
        );
        take_in.dispatcher.inbox.push(move |balancer| balancer.shutdown_at(answered));
        answered
    };
    Acceptor::new(listener, shared, take_in.clone()).run(ended).await;
    if timeout_at(clock.instant_at(last.get()), take_in.close_all()).await.is_err() {
        // Whatever they still wait for, also where the process stood still beyond its last moment.
        take_in.dispatcher.expire_all();
        if timeout(LAST_WRITES, take_in.close_all()).await.is_err() {
            log::warn!("ended with {} jobs unanswered", take_in.capacity.open_requests());
            take_in.log_unanswered("the process ends");
            take_in.dispatcher.guard.record_unanswered(take_in.capacity.unanswered_requests());
        }
    }
    log::info!("{book} {}{}", take_in.capacity, beside(cluster.as_ref()));
    if let Some(cluster) = cluster {
        cluster.leave();
    }
    Ok(())
}

/// Says that the node is ready: at once where it serves alone. Where others may serve the same socket they go on
/// meanwhile, so the list that discovery has now comes first, if it comes soon: what is told counts from the yes on.
async fn start(
    shared: bool,
    place: Option<PathBuf>,
    lifecycle: Rc<Lifecycle>,
    guard: Rc<Guard>,
    discovery: Rc<Discovery>,
) {
    if shared {
        discovery.start_watch();
        wait_beside_others(&place, &discovery).await;
    }
    guard.mark_ready(&lifecycle);
    discovery.peers.announce_ready();
    if let Some(place) = place {
        discovery.peers.clone().serve(place, discovery).await;
    }
}

/// Asks the process that serves the same socket, and waits for the list that discovery has. Where there is none, or
/// none any more, nothing is waited for: what clients have sent meanwhile has only this process.
async fn wait_beside_others(place: &Option<PathBuf>, discovery: &Rc<Discovery>) {
    let mut asked = pin!(async {
        match place {
            Some(place) => discovery.peers.connect(place, discovery).await,
            None => true,
        }
    });
    let (mut heard, mut is_heard) = (pin!(timeout(FIRST_LIST, discovery.list_received())), false);
    let is_beside = loop {
        tokio::select! {
            biased;
            is_beside = asked.as_mut() => break is_beside,
            _ = heard.as_mut(), if !is_heard => is_heard = true,
        }
    };
    if is_beside && !is_heard {
        tokio::select! {
            _ = heard => {}
            () = discovery.peers.all_gone() => {}
        }
    }
}

/// The cluster's counters, behind the others.
fn beside(cluster: Option<&Rc<Cluster>>) -> String {
    let counters = cluster.map(|cluster| cluster.counters()).unwrap_or_default();
    counters.iter().map(|(name, value)| format!(" {name}={value}")).collect()
}

async fn print_counters(
    mut show: Signal,
    book: Rc<Counters>,
    room: Rc<Capacity>,
    cluster: Option<Rc<Cluster>>,
) {
    while show.recv().await.is_some() {
        log::info!("{book} {room}{}", beside(cluster.as_ref()));
    }
}

/// Takes over a replaced configuration, whole or not at all: where discovery is, the limits and the settings. Only
/// the list in the file is older than what the watch has told.
async fn read_again(
    mut again: Signal,
    mut as_written: serde_json::Value,
    settings: Rc<SharedSettings>,
    discovery: Rc<Discovery>,
    take_in: Rc<ClientService>,
) {
    while again.recv().await.is_some() {
        match config::read_again(&as_written) {
            Ok(config) => {
                discovery.set_service(config.discovery);
                take_in.capacity.set_limits(config.sockets, config.memory_mb);
                let same = config.as_written["settings"] == as_written["settings"];
                let which = if same { "the same" } else { "new" };
                log::info!("configuration read again, discovery at {}, {which} settings", config.discovery);
                if !same {
                    retune(&settings, config.settings, &take_in);
                }
                as_written = config.as_written;
            }
            Err(problem) => log::warn!("configuration stays as it was: {problem}"),
        }
    }
}

/// New terms: jobs whose head is read from now on come under them.
fn retune(in_force: &SharedSettings, settings: RuntimeSettings, take_in: &ClientService) {
    let settings = Rc::new(settings);
    in_force.replace(settings.clone());
    take_in.dispatcher.inbox.push(move |balancer| balancer.update_settings(settings.policy_settings.clone()));
}

/// Puts the stages together and starts what runs by itself.
fn build(
    config: Config,
    settings: &Rc<SharedSettings>,
    lifecycle: Rc<Lifecycle>,
) -> (Rc<ClientService>, Rc<Counters>, Rc<Discovery>) {
    let clock = Clock::start();
    let book = Rc::new(Counters::default());
    let policy_settings = settings.current().policy_settings.clone();
    let room = Capacity::new(config.sockets, config.memory_mb);
    let inbox = Rc::new(EventQueue::default());
    let pool = ConnectionPool::new(settings.clone(), room.clone(), book.clone());
    let peers = Peers::new(room.clone(), lifecycle.clone());
    let discovery = Discovery::new(
        config.discovery,
        discovery::Dependencies {
            clock,
            settings: settings.clone(),
            pool: pool.clone(),
            book: book.clone(),
            inbox: inbox.clone(),
            peers: peers.clone(),
        },
    );
    // The module's seed, and other streams of it.
    let stream = |number| {
        let mut chance = SeededRng::from_seed(config.seed);
        chance.0.set_stream(number);
        chance
    };
    discovery.set_jitter(stream(1));
    let guard = Guard::new(discovery.clone(), clock, book.clone());
    let prober = Rc::new(Prober {
        pool: pool.clone(),
        inbox: inbox.clone(),
        settings: settings.clone(),
        book: book.clone(),
        discovery: discovery.clone(),
        guard,
        clock,
        invalid_reports: WarnLimiter::default(),
        failure_log: InfoLimiter::new(probe::LOGGED_FAILURES_PER_S),
        outstanding: Cell::new(0),
    });
    let lease_monitor =
        LeaseMonitor::new(discovery.clone(), prober.clone(), inbox.clone(), settings.clone(), clock);
    let route = Dispatcher::new(clock, inbox, pool.clone(), discovery.clone(), prober, book.clone(), peers);
    discovery.apply_list(config.known, true);
    if !policy_settings.discovery_on_request {
        discovery.start_watch();
    }
    spawn_local(pool.clone().sweep());
    spawn_local(lease_monitor.run(stream(2)));
    spawn_local(room.clone().close_incomplete(book.clone()));
    spawn_local(
        route.clone().run_rounds(Balancer::new((*policy_settings).clone(), config.seed), settings.clone()),
    );
    (ClientService::new(route, room, pool, settings.clone(), book.clone(), lifecycle), book, discovery)
}
