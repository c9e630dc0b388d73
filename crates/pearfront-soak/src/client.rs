//! Clients of the nodes: requests at random times on kept and new connections, of all sizes and forms, some of which leave,
//! stall or come in floods.

mod crowd;
mod exchange;
mod line;
mod request;

use crate::clock;
use crate::http::Connection;
use crate::record::{Record, Recorder};
use crate::role::{ClientRole, Order, Orders};
use exchange::Ended;
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

/// Idle connections to a node that are kept at the most.
const MOST_IDLE: usize = 12;
/// Share of the times at which several requests come in one write, and so many then.
const BURSTS: f64 = 0.02;
const IN_ONE_WRITE: RangeInclusive<usize> = 2..=8;

/// Share of the times at which requests come behind one whose answer takes long.
const LINES: f64 = 0.02;

/// Requests in the mean at each time at which a client asks.
pub fn requests_at_a_time() -> f64 {
    let in_a_burst = (IN_ONE_WRITE.start() + IN_ONE_WRITE.end()) as f64 / 2.0;
    let behind = (line::BEHIND.start() + line::BEHIND.end()) as f64 / 2.0;
    1.0 + BURSTS * (in_a_burst - 1.0) + LINES * behind
}

struct Node {
    address: SocketAddrV4,
    connects: Cell<bool>,
    idle: RefCell<Vec<Connection>>,
}

/// A connection to ask on.
struct Opened {
    connection: Connection,
    /// Nothing has been asked on it yet.
    fresh: bool,
}

struct Client {
    role: ClientRole,
    recorder: Recorder,
    chance: RefCell<ChaCha8Rng>,
    nodes: Vec<Node>,
}

pub async fn play(recorder: Recorder, role: ClientRole, mut orders: Orders) -> Result<(), String> {
    let new = |address: &SocketAddrV4| Node {
        address: *address,
        connects: Cell::new(true),
        idle: RefCell::default(),
    };
    let nodes = role.nodes.iter().map(new).collect();
    let chance = RefCell::new(ChaCha8Rng::seed_from_u64(role.seed));
    let client = Rc::new(Client { role, recorder, chance, nodes });
    for node in 0..client.nodes.len() {
        spawn_local(client.clone().keep_asking(node));
    }
    while let Some(order) = orders.next().await {
        client.clone().follow(order);
    }
    Ok(())
}

impl Client {
    fn follow(self: Rc<Self>, order: Order) {
        match order {
            Order::Connects { node, yes } => self.nodes[node].connects.set(yes),
            Order::CountIdle { node, process } => self.count_idle(node, process),
            Order::Flood { node, count } => {
                (0..count).for_each(|_| drop(spawn_local(self.clone().ask_once(node))));
            }
            Order::Press { node, count } => {
                (0..count).for_each(|_| drop(spawn_local(self.clone().press(node))));
            }
            Order::Crowd { node, count, ms } => {
                let time = Duration::from_millis(ms);
                (0..count).for_each(|_| drop(spawn_local(self.clone().crowd(node, time))));
            }
            Order::Stall { node } => drop(spawn_local(self.clone().stall(node))),
            _ => {}
        }
    }

    fn happens(&self, share: f64) -> bool {
        self.chance.borrow_mut().random_bool(share)
    }

    async fn keep_asking(self: Rc<Self>, node: usize) {
        loop {
            let pause = -self.chance.borrow_mut().random_range(f64::EPSILON..1.0_f64).ln() / self.role.rate;
            sleep(Duration::from_secs_f64(pause)).await;
            if self.happens(BURSTS) {
                spawn_local(self.clone().burst(node));
            } else if self.happens(LINES) {
                spawn_local(self.clone().ask_in_line(node));
            } else {
                spawn_local(self.clone().ask_once(node));
            }
        }
    }

    fn draw(&self) -> Request {
        Request::draw(&mut *self.chance.borrow_mut(), &self.role)
    }

    async fn ask_once(self: Rc<Self>, node: usize) {
        let mut request = self.draw();
        // A kept connection may be closed in the moment of its use; then the request goes again, on a new one.
        let Some(Opened { mut connection, mut fresh }) = self.open(node).await else { return };
        loop {
            match self.ask(node, &request, &mut connection, fresh).await {
                Ended::Answered { kept: true } => return self.keep(node, connection),
                Ended::Crossed => match self.connect(node).await {
                    Some(new) => (connection, fresh) = (new, true),
                    None => return,
                },
                Ended::Answered { kept: false } | Ended::Over => return,
            }
            request.renew(&mut *self.chance.borrow_mut());
        }
    }

    /// A kept connection, or a new one.
    async fn open(&self, node: usize) -> Option<Opened> {
        if let Some(connection) = self.take_idle(node) {
            return Some(Opened { connection, fresh: false });
        }
        self.connect(node).await.map(|connection| Opened { connection, fresh: true })
    }

    fn keep(&self, node: usize, connection: Connection) {
        let mut idle = self.nodes[node].idle.borrow_mut();
        if idle.len() < MOST_IDLE {
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
        // Any of them, so that some rest for long; often a new one although there are some, while there may be new ones.
        let is_kept_used = !self.nodes[node].connects.get() || self.happens(0.8);
        (count > 0 && is_kept_used).then(|| idle.swap_remove(self.chance.borrow_mut().random_range(0..count)))
    }

    async fn connect(&self, node: usize) -> Option<Connection> {
        let node = &self.nodes[node];
        if !node.connects.get() {
            return None;
        }
        TcpStream::connect(node.address).await.ok().map(Connection::new)
    }
}
