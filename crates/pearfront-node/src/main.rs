//! The node program: the decision module on real sockets. The same program runs before every tier.

mod accept;
mod accept_queue;
mod admin;
mod answer_sender;
mod arrival;
mod body_buffer;
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
mod memory;
mod message;
mod probe;
mod process_memory;
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
use admin::AdminServer;
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

/// Length of the accept queue: a burst of connections from all clients at once.
const BACKLOG: u32 = 1024;
/// How long the node runs after SIGTERM: the longest deadline, of which at most `MAX_COUNTED_DEADLINE_MS`
/// counts, and this time. The kill comes no sooner than the longest deadline and 700 ms.
const AFTER_DEADLINE_MS: f64 = 500.0;
const MAX_COUNTED_DEADLINE_MS: f64 = 3000.0;
/// How long the node waits for the drain permit when it is told to end; it ends in any case, within the time
/// that the platform gives. Without `drain_permit` in the settings it does not wait.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a node that may not be alone on its socket waits for its first list before it announces that it
/// is ready.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long the answers that are given at the very end may take to be written.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(50);
/// Time, ms, between the decision module's last answers and the end of the node, for writing them.
const FINAL_ANSWERS_MS: f64 = 100.0;

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

/// Listens at an address; `key` names the setting that it comes from, for errors.
fn bind(key: &str, address: SocketAddr) -> Result<TcpListener, String> {
    let bind = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    retry_transient(bind).map_err(|error: std::io::Error| format!("{key}: {address}: {error}"))
}

/// The clients' listener: the platform's, which other processes serve as well, or a new one.
fn listen(config: &Config) -> Result<TcpListener, String> {
    match config.inherited {
        None => bind("ROUTER_LISTEN", config.listen),
        Some(number) => inherited::listener(number, config.listen)
            .and_then(|listener| TcpListener::from_std(listener).map_err(|error| error.to_string()))
            .map_err(|problem| format!("{}: {problem}", config::INHERITED_VARIABLE)),
    }
}

async fn serve(mut config: Config) -> Result<(), String> {
    let listen_for_signal =
        |kind| retry_transient(|| signal(kind)).map_err(|error| format!("signals: {error}"));
    let (mut terminate, mut interrupt) =
        (listen_for_signal(SignalKind::terminate())?, listen_for_signal(SignalKind::interrupt())?);
    let (counters_signal, reload_signal) =
        (listen_for_signal(SignalKind::user_defined1())?, listen_for_signal(SignalKind::hangup())?);
    // The operators' address first: without it no client is accepted.
    let operators = config.admin.map(|address| bind("admin", address)).transpose()?;
    let listener = listen(&config)?;
    let lifecycle = Rc::new(Lifecycle::new());
    let shared = config.inherited.is_some();
    let (name, address) = (config.name.clone(), config.listen);
    let cluster = config.cluster.take().map(|settings| Cluster::start(settings, &name)).transpose();
    let cluster = cluster.map_err(|problem| format!("config.cluster.{problem}"))?;
    let file_content = config.file_content.clone();
    let settings = SharedSettings::new(std::mem::take(&mut config.settings));
    let socket_path = if shared { Peers::socket_path(&name) } else { None };
    let (client_service, counters, discovery) = build(config, &settings, lifecycle.clone());
    log::info!("node {name} listens on {address}");
    if let Some(operators) = operators {
        log::info!(
            "operators' listener at {}",
            operators.local_addr().map_or_else(|error| error.to_string(), |at| at.to_string())
        );
        spawn_local(AdminServer::new(lifecycle.clone(), cluster.clone()).serve(operators));
    }
    spawn_local(client_service.clone().close_in_drain());
    let guard = client_service.dispatcher.guard.clone();
    spawn_local(announce_when_ready(shared, socket_path, lifecycle.clone(), guard, discovery.clone()));
    spawn_local(print_counters(
        counters_signal,
        counters.clone(),
        client_service.capacity.clone(),
        cluster.clone(),
    ));
    spawn_local(reload_on_signal(
        reload_signal,
        file_content,
        settings.clone(),
        discovery,
        client_service.clone(),
    ));
    let (clock, last_moment) = (client_service.dispatcher.clock, Cell::new(f64::INFINITY));
    let ended = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("told to end, {} jobs held", client_service.capacity.open_requests());
        if let Some(cluster) = &cluster
            && let Err(problem) = cluster.take_permit(PERMIT_TIMEOUT).await
        {
            log::warn!("ending without the drain permit: {problem}");
        }
        let longest =
            settings.current().node_settings.max_deadline.min(MAX_COUNTED_DEADLINE_MS) + AFTER_DEADLINE_MS;
        last_moment.set(clock.now() + longest);
        let answered = last_moment.get() - FINAL_ANSWERS_MS;
        lifecycle.end(
            clock
                .instant_at(answered - client_service::CLOSING_PERIOD_MS)
                .saturating_duration_since(Instant::now()),
        );
        client_service.dispatcher.events.push(move |balancer| balancer.shutdown_at(answered));
        answered
    };
    Acceptor::new(listener, shared, client_service.clone()).run(ended).await;
    answer_all(&client_service, clock.instant_at(last_moment.get())).await;
    let print_counters = || log_counters(&counters, &client_service.capacity, cluster.as_ref());
    print_counters();
    if let Some(cluster) = &cluster {
        cluster.leave();
    }
    if client_service.has_answers_under_way() {
        log::info!("waiting for answers under way");
        client_service.finish_answers().await;
        print_counters();
    }
    Ok(())
}

/// Answers all requests by `last_moment` and closes their connections, except those to which an answer is under way.
async fn answer_all(client_service: &ClientService, last_moment: Instant) {
    if timeout_at(last_moment, client_service.close_all()).await.is_ok() {
        return;
    }
    // Whatever they still wait for; also if the process was stalled beyond its last moment.
    client_service.dispatcher.expire_all();
    let _ = timeout(FINAL_WRITE_TIME, client_service.close_all()).await;
    let unanswered = client_service.capacity.unanswered_requests();
    if unanswered > 0 {
        log::warn!("ended with {unanswered} jobs unanswered");
        client_service.log_unanswered("the process ends");
        client_service.dispatcher.guard.record_unanswered(unanswered);
    }
}

/// Announces that the node is ready: at once if it serves alone. Other processes on the same socket continue
/// meanwhile, so the current list from discovery comes first if it arrives soon, since the node is bound by
/// it from the announcement on.
async fn announce_when_ready(
    shared: bool,
    socket_path: Option<PathBuf>,
    lifecycle: Rc<Lifecycle>,
    guard: Rc<Guard>,
    discovery: Rc<Discovery>,
) {
    if shared {
        discovery.start_watch();
        wait_for_other_process(&socket_path, &discovery).await;
    }
    discovery.peers.capacity.settle();
    guard.mark_ready(&lifecycle);
    discovery.peers.announce_ready();
    if let Some(socket_path) = socket_path {
        discovery.peers.clone().serve(socket_path, discovery).await;
    }
}

/// Connects to the process that serves the same socket, and waits for the current list from discovery. If
/// there is no such process, or it ends, nothing is waited for: then only this process can answer the
/// clients.
async fn wait_for_other_process(socket_path: &Option<PathBuf>, discovery: &Rc<Discovery>) {
    let mut connecting = pin!(async {
        match socket_path {
            Some(socket_path) => discovery.peers.connect(socket_path, discovery).await,
            None => true,
        }
    });
    let (mut first_list, mut has_list) =
        (pin!(timeout(FIRST_LIST_TIMEOUT, discovery.list_received())), false);
    let has_other_process = loop {
        tokio::select! {
            biased;
            has_other_process = connecting.as_mut() => break has_other_process,
            _ = first_list.as_mut(), if !has_list => has_list = true,
        }
    };
    if has_other_process && !has_list {
        tokio::select! {
            _ = first_list => {}
            () = discovery.peers.all_gone() => {}
        }
    }
}

/// The cluster's counters, printed after the others.
fn cluster_counters(cluster: Option<&Rc<Cluster>>) -> String {
    let counters = cluster.map(|cluster| cluster.counters()).unwrap_or_default();
    counters.iter().map(|(name, value)| format!(" {name}={value}")).collect()
}

fn log_counters(counters: &Counters, capacity: &Capacity, cluster: Option<&Rc<Cluster>>) {
    log::info!("{counters} {capacity} {}{}", process_memory::counters(), cluster_counters(cluster));
}

async fn print_counters(
    mut counters_signal: Signal,
    counters: Rc<Counters>,
    capacity: Rc<Capacity>,
    cluster: Option<Rc<Cluster>>,
) {
    while counters_signal.recv().await.is_some() {
        log_counters(&counters, &capacity, cluster.as_ref());
    }
}

/// Applies a changed configuration file on SIGHUP, completely or not at all: the address of discovery, the
/// limits and the settings. Only the server list in the file is ignored, as it is older than the watch's.
async fn reload_on_signal(
    mut reload_signal: Signal,
    mut file_content: serde_json::Value,
    settings: Rc<SharedSettings>,
    discovery: Rc<Discovery>,
    client_service: Rc<ClientService>,
) {
    while reload_signal.recv().await.is_some() {
        match config::reload(&file_content) {
            Ok(config) => {
                discovery.set_service(config.discovery);
                client_service.capacity.set_limits(config.sockets, config.memory_mb);
                let unchanged = config.file_content["settings"] == file_content["settings"];
                let settings_kind = if unchanged { "the same" } else { "new" };
                log::info!(
                    "configuration read again, discovery at {}, {settings_kind} settings",
                    config.discovery
                );
                if !unchanged {
                    apply_settings(&settings, config.settings, &client_service);
                }
                file_content = config.file_content;
            }
            Err(problem) => log::warn!("configuration stays as it was: {problem}"),
        }
    }
}

/// Applies new settings: they hold for requests whose head is read from now on.
fn apply_settings(
    shared_settings: &SharedSettings,
    settings: RuntimeSettings,
    client_service: &ClientService,
) {
    let settings = Rc::new(settings);
    shared_settings.replace(settings.clone());
    client_service
        .dispatcher
        .events
        .push(move |balancer| balancer.update_settings(settings.policy_settings.clone()));
}

/// Creates the stages and starts their background tasks.
fn build(
    config: Config,
    settings: &Rc<SharedSettings>,
    lifecycle: Rc<Lifecycle>,
) -> (Rc<ClientService>, Rc<Counters>, Rc<Discovery>) {
    let clock = Clock::start();
    let counters = Rc::new(Counters::default());
    let policy_settings = settings.current().policy_settings.clone();
    let capacity = Capacity::new(config.sockets, config.memory_mb, config.inherited.is_some());
    let event_queue = Rc::new(EventQueue::default());
    let pool = ConnectionPool::new(settings.clone(), capacity.clone(), counters.clone());
    let peers = Peers::new(capacity.clone(), lifecycle.clone());
    let discovery = Discovery::new(
        config.discovery,
        discovery::Dependencies {
            clock,
            settings: settings.clone(),
            pool: pool.clone(),
            counters: counters.clone(),
            event_queue: event_queue.clone(),
            peers: peers.clone(),
        },
    );
    // Separate random streams from the configured seed.
    let stream = |number| {
        let mut rng = SeededRng::from_seed(config.seed);
        rng.0.set_stream(number);
        rng
    };
    discovery.set_jitter(stream(1));
    let guard = Guard::new(discovery.clone(), clock, counters.clone());
    let prober = Rc::new(Prober {
        pool: pool.clone(),
        event_queue: event_queue.clone(),
        settings: settings.clone(),
        counters: counters.clone(),
        discovery: discovery.clone(),
        guard,
        clock,
        invalid_reports: WarnLimiter::default(),
        failure_log: InfoLimiter::new(probe::LOGGED_FAILURES_PER_S),
        outstanding: Cell::new(0),
    });
    let lease_monitor =
        LeaseMonitor::new(discovery.clone(), prober.clone(), event_queue.clone(), settings.clone(), clock);
    let dispatcher =
        Dispatcher::new(clock, event_queue, pool.clone(), discovery.clone(), prober, counters.clone(), peers);
    discovery.apply_list(config.initial_list, true);
    if !policy_settings.discovery_on_request {
        discovery.start_watch();
    }
    spawn_local(pool.clone().close_expired());
    spawn_local(lease_monitor.run(stream(2)));
    spawn_local(capacity.clone().close_incomplete(counters.clone()));
    spawn_local(
        dispatcher
            .clone()
            .run_rounds(Balancer::new((*policy_settings).clone(), config.seed), settings.clone()),
    );
    (
        ClientService::new(dispatcher, capacity, pool, settings.clone(), counters.clone(), lifecycle),
        counters,
        discovery,
    )
}
