//! The stages of a node around a discovery service and servers of a unit test's own.

use crate::clock::Clock;
use crate::counters::Counters;
use crate::discovery::{Discovery, Parts};
use crate::dispatcher::EventQueue;
use crate::guard::Guard;
use crate::handover::Peers;
use crate::lifecycle::Lifecycle;
use crate::logger::{Limited, Seldom};
use crate::message::{Line, List};
use crate::probe::{LOGGED_FAILURES, Prober};
use crate::send::Senders;
use crate::terms::{InForce, Terms};
use pearfront::interface::Standing;
use pearfront_settings::Surroundings;
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
        let around = Surroundings {
            connect_timeout: 1000.0,
            conn_idle: 1000.0,
            drain_grace: 400.0,
            ..Surroundings::default()
        };
        let terms = InForce::new(Terms { around, ..Terms::default() });
        let (clock, inbox) = (Clock::start(), Rc::new(EventQueue::default()));
        let (room, book) = (crate::capacity::Capacity::new(64, 1.0), Rc::new(Counters::default()));
        let senders = Senders::new(terms.clone(), room.clone(), book.clone());
        let peers = Peers::new(room, Rc::new(Lifecycle::new()));
        let parts = Parts {
            clock,
            terms: terms.clone(),
            senders: senders.clone(),
            book: book.clone(),
            inbox: inbox.clone(),
            peers,
        };
        let discovery = Discovery::new(service, parts);
        let guard = Guard::new(discovery.clone(), clock, book.clone());
        let prober = Rc::new(Prober {
            senders,
            inbox,
            terms,
            book: book.clone(),
            discovery: discovery.clone(),
            guard,
            clock,
            unread: Seldom::default(),
            failures: Limited::new(LOGGED_FAILURES),
            out: Cell::new(0),
        });
        Self { book, discovery, prober }
    }

    /// Tells the stages that a list of this version has the server so.
    pub fn list(&self, version: u64, server: SocketAddr, standing: Standing) {
        let SocketAddr::V4(address) = server else { panic!("no such addresses here") };
        let line =
            Line { id: "s0".into(), address, standing, cell: 0, zone: 0, make: 0, size: 1.0, started: None };
        self.discovery.tell(List { version, whole: false, lines: vec![line], dropped: Vec::new() }, false);
    }
}

/// Runs a test's play as the node runs its stages.
pub fn run(play: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, play);
}
