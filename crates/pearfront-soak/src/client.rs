//! The role of clients: requests to nodes at random times, on kept and new connections, of all sizes and forms. Some clients
//! disconnect early, stall, pipeline requests or come in floods.

mod exchange;
mod patterns;
mod pipeline;
mod request;

use crate::clock;
use crate::crowd;
use crate::http::Connection;
use crate::record::{Record, Recorder};
use crate::role::{ClientRole, Order, Orders};
use exchange::Outcome;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use request::Request;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Most idle connections to a node that are kept.
const MAX_IDLE: usize = 12;
/// Share of arrivals at which several requests are sent in one write, and their number.
const BURST_SHARE: f64 = 0.02;
const BURST_SIZE: RangeInclusive<usize> = 2..=8;

/// Share of arrivals at which requests are pipelined behind one with a slow answer.
const PIPELINE_SHARE: f64 = 0.02;

/// Mean number of requests at each arrival.
pub fn mean_requests_per_arrival() -> f64 {
    let in_a_burst = (BURST_SIZE.start() + BURST_SIZE.end()) as f64 / 2.0;
    let followers = (pipeline::FOLLOWERS.start() + pipeline::FOLLOWERS.end()) as f64 / 2.0;
    1.0 + BURST_SHARE * (in_a_burst - 1.0) + PIPELINE_SHARE * followers
}

struct Node {
    address: SocketAddrV4,
    may_connect: Cell<bool>,
    idle: RefCell<Vec<Connection>>,
}

/// A connection for a request.
struct Opened {
    connection: Connection,
    /// No request was sent on it yet.
    new_connection: bool,
}

struct Client {
    role: ClientRole,
    recorder: Recorder,
    rng: RefCell<ChaCha8Rng>,
    nodes: Vec<Node>,
}

/// Sends requests to all nodes and follows orders until those end.
pub async fn run(recorder: Recorder, role: ClientRole, mut orders: Orders) -> Result<(), String> {
    let new = |address: &SocketAddrV4| Node {
        address: *address,
        may_connect: Cell::new(true),
        idle: RefCell::default(),
    };
    let nodes = role.nodes.iter().map(new).collect();
    let rng = RefCell::new(ChaCha8Rng::seed_from_u64(role.seed));
    let client = Rc::new(Client { role, recorder, rng, nodes });
    for node in 0..client.nodes.len() {
        spawn_local(client.clone().send_requests(node));
    }
    while let Some(order) = orders.next().await {
        client.clone().handle_order(order);
    }
    Ok(())
}

impl Client {
    fn handle_order(self: Rc<Self>, order: Order) {
        match order {
            Order::AllowConnections { node, allowed } => self.nodes[node].may_connect.set(allowed),
            Order::CountIdle { node, process } => self.count_idle(node, process),
            Order::Flood { node, count } => {
                (0..count).for_each(|_| drop(spawn_local(self.clone().send_one(node))));
            }
            Order::SendBackToBack { node, count } => {
                (0..count).for_each(|_| drop(spawn_local(self.clone().send_back_to_back(node))));
            }
            Order::FillDescriptors { node, count, ms } => {
                let time = Duration::from_millis(ms);
                (0..count).for_each(|_| drop(spawn_local(self.clone().fill_descriptors(node, time))));
            }
            Order::Crowd { node, kinds, clients, ms } => {
                let (address, time) = (self.nodes[node].address.into(), Duration::from_millis(ms));
                std::thread::spawn(move || crowd::keep_up_for(address, &kinds, clients, time));
            }
            Order::Stall { node } => drop(spawn_local(self.clone().stall(node))),
            _ => {}
        }
    }

    fn happens(&self, share: f64) -> bool {
        self.rng.borrow_mut().random_bool(share)
    }

    async fn send_requests(self: Rc<Self>, node: usize) {
        loop {
            let pause = -self.rng.borrow_mut().random_range(f64::EPSILON..1.0_f64).ln() / self.role.rate;
            sleep(Duration::from_secs_f64(pause)).await;
            if self.happens(BURST_SHARE) {
                spawn_local(self.clone().burst(node));
            } else if self.happens(PIPELINE_SHARE) {
                spawn_local(self.clone().send_pipeline(node));
            } else {
                spawn_local(self.clone().send_one(node));
            }
        }
    }

    fn draw(&self) -> Request {
        Request::draw(&mut *self.rng.borrow_mut(), &self.role)
    }

    async fn send_one(self: Rc<Self>, node: usize) {
        let mut request = self.draw();
        // A node may close a kept connection just when it is used; then the request is sent again on a new one.
        let Some(Opened { mut connection, mut new_connection }) = self.open(node).await else { return };
        loop {
            match self.exchange(node, &request, &mut connection, new_connection).await {
                Outcome::Answered { kept: true } => return self.keep_idle(node, connection),
                Outcome::CloseRaced => match self.connect(node).await {
                    Some(new) => (connection, new_connection) = (new, true),
                    None => return,
                },
                Outcome::Answered { kept: false } | Outcome::Finished => return,
            }
            request.renew_id(&mut *self.rng.borrow_mut());
        }
    }

    /// Takes a kept connection, or opens a new one.
    async fn open(&self, node: usize) -> Option<Opened> {
        if let Some(connection) = self.take_idle(node) {
            return Some(Opened { connection, new_connection: false });
        }
        self.connect(node).await.map(|connection| Opened { connection, new_connection: true })
    }

    fn keep_idle(&self, node: usize, connection: Connection) {
        let mut idle = self.nodes[node].idle.borrow_mut();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    fn count_idle(&self, node: usize, process: u32) {
        let idle = self.nodes[node].idle.borrow();
        let open = idle.iter().filter(|connection| !connection.has_ended()).count();
        self.recorder.write(&Record::Idle { node, process, at: clock::now(), open });
    }

    fn take_idle(&self, node: usize) -> Option<Connection> {
        let mut idle = self.nodes[node].idle.borrow_mut();
        let count = idle.len();
        // Picks at random, so that some connections stay idle for long; where new connections are allowed, often opens one all the same.
        let reuses_idle = !self.nodes[node].may_connect.get() || self.happens(0.8);
        (count > 0 && reuses_idle).then(|| idle.swap_remove(self.rng.borrow_mut().random_range(0..count)))
    }

    async fn connect(&self, node: usize) -> Option<Connection> {
        let node = &self.nodes[node];
        if !node.may_connect.get() {
            return None;
        }
        TcpStream::connect(node.address).await.ok().map(Connection::new)
    }
}
