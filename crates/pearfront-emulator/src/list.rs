//! A line of the server list, for the decision module and in the platform's JSON format.

use crate::platform::lifecycle;
use crate::scenario::Scenario;
use pearfront::interface::{Address, ListedServer, ServerState};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddrV4};

/// One line of the list, and the server life that it describes.
#[derive(Debug, Clone)]
pub struct Line {
    pub id: String,
    pub address: Address,
    pub tier: usize,
    pub zone: u16,
    pub cell: u16,
    pub make: usize,
    pub standing: ServerState,
    pub started: f64,
    pub life: usize,
}

impl Line {
    /// The line as passed to the decision module of a node whose clock started at `from`.
    pub fn listing(&self, from: f64) -> ListedServer {
        ListedServer {
            address: self.address,
            state: self.standing,
            cell: self.cell,
            zone: self.zone,
            machine_type: self.make,
            weight: 1.0,
            started_at: self.started - from,
        }
    }

    /// The line as discovery sends it; `began` is the Unix time, ms, of the start of the play.
    pub fn json(&self, scenario: &Scenario, began: f64) -> Value {
        let started = if self.started.is_finite() { (began + self.started).round() } else { 0.0 };
        json!({"instanceId": self.id, "hostPort": socket(self.address).to_string(),
            "zone": scenario.zones[usize::from(self.zone)], "machineType": scenario.kinds[self.make].name,
            "cell": self.cell, "lifecycle": lifecycle(self.standing), "weight": 1.0, "startedAtMs": started})
    }
}

pub fn socket(address: Address) -> SocketAddrV4 {
    let [a, b, c, d, high, low] = address;
    SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), u16::from_be_bytes([high, low]))
}

pub fn address(socket: SocketAddrV4) -> Address {
    let ([a, b, c, d], [high, low]) = (socket.ip().octets(), socket.port().to_be_bytes());
    [a, b, c, d, high, low]
}
