//! The stages of a node around a discovery service and servers of a unit test's own.

use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
use crate::counters::Counters;
use crate::discovery::{Dependencies, Discovery};
use crate::dispatcher::EventQueue;
use crate::guard::Guard;
use crate::handover::Peers;
use crate::lifecycle::Lifecycle;
use crate::logger::{InfoLimiter, WarnLimiter};
use crate::message::{ServerEntry, ServerList};
use crate::probe::{LOGGED_FAILURES_PER_S, Prober};
use crate::runtime_settings::{RuntimeSettings, SharedSettings};
use pearfront::interface::ServerState;
use pearfront_settings::NodeSettings;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::LocalSet;

pub struct Stages {
    pub book: Rc<Counters>,
    pub discovery: Rc<Discovery>,
    pub prober: Rc<Prober>,
}

impl Stages {
    /// Stages whose discovery service has this address; only within `run`.
    pub fn new(service: SocketAddr) -> Self {
        let node_settings = NodeSettings {
            connect_timeout: 1000.0,
            idle_timeout: 1000.0,
            drain_grace: 400.0,
            ..NodeSettings::default()
        };
        let settings = SharedSettings::new(RuntimeSettings { node_settings, ..RuntimeSettings::default() });
        let (clock, inbox) = (Clock::start(), Rc::new(EventQueue::default()));
        let (room, book) = (crate::capacity::Capacity::new(64, 1.0), Rc::new(Counters::default()));
        let pool = ConnectionPool::new(settings.clone(), room.clone(), book.clone());
        let peers = Peers::new(room, Rc::new(Lifecycle::new()));
        let dependencies = Dependencies {
            clock,
            settings: settings.clone(),
            pool: pool.clone(),
            book: book.clone(),
            inbox: inbox.clone(),
            peers,
        };
        let discovery = Discovery::new(service, dependencies);
        let guard = Guard::new(discovery.clone(), clock, book.clone());
        let prober = Rc::new(Prober {
            pool,
            inbox,
            settings,
            book: book.clone(),
            discovery: discovery.clone(),
            guard,
            clock,
            invalid_reports: WarnLimiter::default(),
            failure_log: InfoLimiter::new(LOGGED_FAILURES_PER_S),
            outstanding: Cell::new(0),
        });
        Self { book, discovery, prober }
    }

    /// Tells the stages that a list of this version has the server so.
    pub fn list(&self, version: u64, server: SocketAddr, standing: ServerState) {
        let SocketAddr::V4(address) = server else { panic!("no such addresses here") };
        let entry = ServerEntry {
            id: "s0".into(),
            address,
            standing,
            cell: 0,
            zone: 0,
            machine_type: 0,
            weight: 1.0,
            started: None,
        };
        self.discovery.apply_list(
            ServerList { version, is_full: false, entries: vec![entry], invalid: Vec::new() },
            false,
        );
    }
}

/// Runs a test's play as the node runs its stages.
pub fn run(play: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, play);
}
