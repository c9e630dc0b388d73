//! The processes of a soak beside the nodes: each is told what it is by one JSON line on its standard input, and then what to do
//! by one line an order. It ends with its standard input.

use crate::record::{DiscoveryMode, Lifecycle, Recorder};
use crate::{client, discovery, relay, server};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use tokio::io::{AsyncBufReadExt, BufReader, Lines, Stdin};

/// What a process is.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    Server(ServerRole),
    Relay(RelayRole),
    Discovery(DiscoveryRole),
    Client(ClientRole),
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServerRole {
    pub records: PathBuf,
    pub number: usize,
    pub address: SocketAddrV4,
    /// It goes on to serve while it drains, and says only to probes that it does.
    pub serves_on: bool,
    pub seed: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayRole {
    pub records: PathBuf,
    /// For each server, where the relay listens for it, and where it is.
    pub servers: Vec<(SocketAddrV4, SocketAddrV4)>,
    pub seed: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DiscoveryRole {
    pub records: PathBuf,
    /// For each process of a node its first and its second place: calls tell by that whose they are.
    #[serde(rename = "places")]
    pub addresses: Vec<[SocketAddrV4; 2]>,
    /// For each server, where nodes reach it.
    pub servers: Vec<SocketAddrV4>,
    /// Answers are whole lists without what drains, rather than changes.
    pub whole_lists: bool,
    pub seed: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClientRole {
    pub records: PathBuf,
    pub nodes: Vec<SocketAddrV4>,
    /// Requests a second to each node.
    pub rate: f64,
    /// Share of requests whose client leaves early.
    #[serde(rename = "leaves")]
    pub disconnect_share: f64,
    /// Longest that clients wait, ms, and shortest.
    pub deadlines: (f64, f64),
    pub seed: u64,
}

/// What a process is told to do.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// A server turns away what is new from now on.
    Drain,
    /// The relay deals so with one server's connections.
    #[serde(rename = "way")]
    RelayMode {
        server: usize,
        #[serde(rename = "way")]
        relay_mode: RelayMode,
    },
    /// The list changes.
    Publish {
        server: usize,
        version: u64,
        #[serde(rename = "standing")]
        lifecycle: Lifecycle,
        started_unix: f64,
    },
    Discovery {
        mode: DiscoveryMode,
    },
    /// A caller's first place says nothing any more: it has been told to call the second.
    Moved {
        #[serde(rename = "caller")]
        subscriber: usize,
    },
    /// Clients make new connections to a node, or only use those that they have.
    #[serde(rename = "connects")]
    AllowConnections {
        node: usize,
        #[serde(rename = "yes")]
        allowed: bool,
    },
    /// Clients count the connections to a node that they hold idle; this process was the one to close them.
    CountIdle {
        node: usize,
        process: u32,
    },
    /// So many requests at once to a node.
    Flood {
        node: usize,
        count: usize,
    },
    /// Half a request to a node, whose client stays.
    Stall {
        node: usize,
    },
    /// So many connections on which requests follow one another without a pause until they end.
    #[serde(rename = "press")]
    SendBackToBack {
        node: usize,
        count: usize,
    },
    /// So many connections that are only held, for so long.
    #[serde(rename = "crowd")]
    FillDescriptors {
        node: usize,
        count: usize,
        ms: u64,
    },
}

/// How the relay deals with a server's connections.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayMode {
    #[serde(rename = "open")]
    Forward,
    /// Nothing comes through, and nothing is said.
    #[serde(rename = "vanished")]
    Blackhole,
    /// Requests are reset once their first bytes have come, in this share of cases, in percent.
    Resets(u8),
    /// Kept connections are closed behind an answer, in this share of cases, in percent.
    ClosesIdle(u8),
    /// Answers are held back so long, ms.
    Slow(u64),
    /// Nothing of a body is taken.
    #[serde(rename = "takes_nothing")]
    StopsReading,
    /// A piece of a body is taken only so often, ms.
    #[serde(rename = "takes_slowly")]
    ReadsSlowly(u64),
}

/// The orders of this process.
pub struct Orders(Lines<BufReader<Stdin>>);

impl Orders {
    /// The next one; nothing once the player has ended.
    pub async fn next(&mut self) -> Option<Order> {
        let line = self.0.next_line().await.ok()??;
        serde_json::from_str(&line).ok()
    }
}

/// Plays the role that standard input names, to its end.
///
/// # Errors
/// Where the role can't be read, an address be bound or the records be written.
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

/// Bytes that the kernel keeps of what a process has not read, about.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

/// Listens at an address.
pub fn listen(address: SocketAddrV4) -> Result<tokio::net::TcpListener, String> {
    let bind = || {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        // What is not taken is soon seen by whoever sends it.
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.bind(address.into())?;
        socket.listen(1024)
    };
    bind().map_err(|error: std::io::Error| format!("{address}: {error}"))
}
