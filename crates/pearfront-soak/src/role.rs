//! The roles of the processes that a soak runs beside the nodes, and the orders that they take from the runner. A process reads
//! its role as the first JSON line of standard input, then one order a line; it ends at the end of its input.

use crate::crowd::CrowdKind;
use crate::record::{DiscoveryMode, Lifecycle, Recorder};
use crate::{client, discovery, relay, server};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use tokio::io::{AsyncBufReadExt, BufReader, Lines, Stdin};

/// The role of a process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    Server(ServerRole),
    Relay(RelayRole),
    Discovery(DiscoveryRole),
    Client(ClientRole),
}

/// A server behind the nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServerRole {
    pub records: PathBuf,
    pub number: usize,
    pub address: SocketAddrV4,
    /// It goes on to serve requests while it drains, and reports the drain to probes alone.
    pub serves_on: bool,
    pub seed: u64,
}

/// The relay between the nodes and all servers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayRole {
    pub records: PathBuf,
    /// For each server, the address at which the relay listens for it, and the server's own.
    pub servers: Vec<(SocketAddrV4, SocketAddrV4)>,
    pub seed: u64,
}

/// The discovery service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DiscoveryRole {
    pub records: PathBuf,
    /// For each process of a node the first and the second address at which it calls discovery, by which its calls are known.
    #[serde(rename = "places")]
    pub addresses: Vec<[SocketAddrV4; 2]>,
    /// For each server, the address at which nodes reach it.
    pub servers: Vec<SocketAddrV4>,
    /// Answers are full lists without draining servers, rather than changes.
    pub whole_lists: bool,
    pub seed: u64,
}

/// A process of clients.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClientRole {
    pub records: PathBuf,
    pub nodes: Vec<SocketAddrV4>,
    /// Requests a second to each node.
    pub rate: f64,
    /// Share of requests whose client disconnects before its deadline.
    #[serde(rename = "leaves")]
    pub disconnect_share: f64,
    /// Shortest and longest deadline of requests, ms.
    pub deadlines: (f64, f64),
    pub seed: u64,
}

/// An order of the runner to a process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// A server drains from now on.
    Drain,
    /// The relay treats the connections of one server in this mode.
    #[serde(rename = "way")]
    RelayMode {
        server: usize,
        #[serde(rename = "way")]
        relay_mode: RelayMode,
    },
    /// Discovery's list changes.
    Publish {
        server: usize,
        version: u64,
        #[serde(rename = "standing")]
        lifecycle: Lifecycle,
        started_unix: f64,
    },
    /// Discovery goes to this mode.
    Discovery { mode: DiscoveryMode },
    /// Discovery no longer serves the first address of a subscriber, which is told to call the second.
    Moved {
        #[serde(rename = "caller")]
        subscriber: usize,
    },
    /// Clients may open new connections to a node, or only use those that they have.
    #[serde(rename = "connects")]
    AllowConnections {
        node: usize,
        #[serde(rename = "yes")]
        allowed: bool,
    },
    /// Clients record how many idle connections to a node they hold; this process was to close them.
    CountIdle { node: usize, process: u32 },
    /// Clients send this many requests to a node at once.
    Flood { node: usize, count: usize },
    /// A client sends half a request to a node and keeps the connection open.
    Stall { node: usize },
    /// Clients open this many connections and send requests on each without a pause until it ends.
    #[serde(rename = "press")]
    SendBackToBack { node: usize, count: usize },
    /// A crowd of difficult clients of these kinds comes to a node for this time.
    #[serde(rename = "difficult_crowd")]
    Crowd { node: usize, kinds: Vec<CrowdKind>, clients: usize, ms: u64 },
    /// Clients hold this many connections, idle or with half a head, for this time.
    #[serde(rename = "crowd")]
    FillDescriptors { node: usize, count: usize, ms: u64 },
}

/// How the relay treats a server's connections.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayMode {
    /// Forwards both ways.
    #[serde(rename = "open")]
    Forward,
    /// Forwards nothing and closes nothing.
    #[serde(rename = "vanished")]
    Blackhole,
    /// Resets this share of requests after their head, percent.
    Resets(u8),
    /// Closes the connection after this share of answers, percent.
    ClosesIdle(u8),
    /// Delays answers by this many ms.
    Slow(u64),
    /// Reads nothing of a request's body.
    #[serde(rename = "takes_nothing")]
    StopsReading,
    /// Waits this many ms between two reads of a request's body.
    #[serde(rename = "takes_slowly")]
    ReadsSlowly(u64),
}

/// The orders that come to this process on standard input.
pub struct Orders(Lines<BufReader<Stdin>>);

impl Orders {
    /// The next order; `None` once the runner has ended or a line can't be read.
    pub async fn next(&mut self) -> Option<Order> {
        let line = self.0.next_line().await.ok()??;
        serde_json::from_str(&line).ok()
    }
}

/// Runs the role that standard input names, until the input ends.
///
/// # Errors
/// If the role can't be read, an address can't be bound or the record file can't be opened.
pub async fn run() -> Result<(), String> {
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    let line = lines.next_line().await.map_err(|error| error.to_string())?.ok_or("no role")?;
    let role: Role = serde_json::from_str(&line).map_err(|error| error.to_string())?;
    let orders = Orders(lines);
    let recorder =
        |path: &PathBuf| Recorder::new(path).map_err(|error| format!("{}: {error}", path.display()));
    match role {
        Role::Server(role) => server::run(recorder(&role.records)?, role, orders).await,
        Role::Relay(role) => relay::run(recorder(&role.records)?, role, orders).await,
        Role::Discovery(role) => discovery::run(recorder(&role.records)?, role, orders).await,
        Role::Client(role) => client::run(recorder(&role.records)?, role, orders).await,
    }
}

/// Size of the kernel's receive buffer of a connection, bytes.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

/// Listens at an address, with a small receive buffer.
pub fn listen(address: SocketAddrV4) -> Result<tokio::net::TcpListener, String> {
    let bind = || {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        // With a small buffer a sender soon notices that its bytes are not read.
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.bind(address.into())?;
        socket.listen(1024)
    };
    bind().map_err(|error: std::io::Error| format!("{address}: {error}"))
}
