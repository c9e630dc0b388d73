//! Sequences of failing discovery calls over real sockets: a change must be known to the node when it counts as announced.

use crate::stand_ins::{Message, Node, Server, config, in_table, in_time_unless_late, list, wait_for_table};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// How a call fails; calls after the last failure are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallFault {
    Silent,
    /// Half a list, then silence.
    Stalled,
    /// A 503, then a close.
    Refused,
    /// The connection is not established: the accept queue is full. It soon has room, but not for this connection.
    NotConnected,
}

use CallFault::*;

/// Time after which a failed connection no longer matters: the kernel retries it only after 1 s.
const WAY_FREE: Duration = Duration::from_millis(300);
/// Longest interval between two checks for that connection: the second check sees it at the latest, and the queue has room
/// within its first second.
const LOOKS_APART: Duration = Duration::from_millis(300);
/// State code of a connection being established in `/proc/net/tcp`.
const CONNECTING: &str = "02";

#[derive(Default)]
struct ServiceState {
    /// Version of its list, and the failures of the calls to come.
    version: u64,
    faults: Vec<CallFault>,
    /// Calls: the version that their sender knew, and when they arrived.
    calls: Vec<(u64, Instant)>,
    connections: usize,
    /// The first connections, up to this number, get no more answers.
    silent_before: usize,
    /// The queue had room only after the refused connection had retried or been given up.
    was_late: bool,
}

/// A discovery service whose calls fail in the given way.
struct Service {
    address: SocketAddr,
    state: Arc<(Mutex<ServiceState>, Condvar)>,
}

impl Service {
    fn start(version: u64, faults: &[CallFault]) -> Self {
        let address = Server::unused_address();
        let state = ServiceState { version, faults: faults.to_vec(), ..ServiceState::default() };
        let state: Arc<(Mutex<ServiceState>, Condvar)> = Arc::new((Mutex::new(state), Condvar::new()));
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&address.into()).unwrap();
        socket.listen(1).unwrap();
        socket.set_nonblocking(true).unwrap();
        let (shared, listener): (_, TcpListener) = (state.clone(), socket.into());
        thread::spawn(move || {
            loop {
                if shared.0.lock().unwrap().faults.first() == Some(&NotConnected) {
                    let was_late = !block_first_connect(&listener, address);
                    let mut state = shared.0.lock().unwrap();
                    state.faults.remove(0);
                    state.was_late |= was_late;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let shared = shared.clone();
                        stream.set_nonblocking(false).unwrap();
                        thread::spawn(move || serve(stream, &shared));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Self { address, state }
    }

    /// Waits for a call that reports this version; returns when it arrived.
    fn wait_for(&self, version: u64) -> Instant {
        let known =
            |state: &ServiceState| state.calls.iter().find(|(from, _)| *from >= version).map(|(_, at)| *at);
        let missing = |state: &mut ServiceState| known(state).is_none();
        let timeout = Duration::from_secs(30);
        let state =
            self.state.1.wait_timeout_while(self.state.0.lock().unwrap(), timeout, missing).unwrap().0;
        known(&state).expect("a call behind the list")
    }

    fn was_late(&self) -> bool {
        self.state.0.lock().unwrap().was_late
    }

    /// Stops answering on open connections, publishes this version, and lets the coming calls fail in this way. Returns when
    /// that was.
    fn change(&self, version: u64, faults: &[CallFault]) -> Instant {
        let mut state = self.state.0.lock().unwrap();
        (state.version, state.faults, state.silent_before) = (version, faults.to_vec(), state.connections);
        Instant::now()
    }
}

/// Keeps the accept queue full until a connection has tried it. Returns whether the queue had room before that connection's
/// retry.
fn block_first_connect(listener: &TcpListener, address: SocketAddr) -> bool {
    let mut queued = Vec::new();
    loop {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        match socket.connect_timeout(&address.into(), Duration::from_millis(200)) {
            Ok(()) => queued.push(socket),
            Err(_) => break,
        }
    }
    let words = format!("{} {CONNECTING} ", in_table(address));
    let is_first = wait_for_table(&words, true) <= LOOKS_APART;
    thread::sleep(WAY_FREE);
    queued.iter().for_each(|_| drop(listener.accept().unwrap()));
    // Columns of the table: queues, timer, number of retransmissions.
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let tries = table.split_once(&words).and_then(|(_, rest)| rest.split_whitespace().nth(2));
    is_first && tries.is_some_and(|tries| tries == "00000000")
}

fn serve(stream: TcpStream, (lock, changed): &(Mutex<ServiceState>, Condvar)) {
    let place = {
        let mut state = lock.lock().unwrap();
        state.connections += 1;
        state.connections
    };
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut writer = stream;
    while let Some(call) = Message::read(&mut reader) {
        let number = |key: &str| -> u64 {
            call.start.split_once(key).unwrap().1.split(['&', ' ']).next().unwrap().parse().unwrap()
        };
        let (from, hold) = (number("from="), Duration::from_millis(number("hold_ms=")));
        let mut state = lock.lock().unwrap();
        state.calls.push((from, Instant::now()));
        changed.notify_all();
        let fault = (!state.faults.is_empty()).then(|| state.faults.remove(0));
        let news = |state: &mut ServiceState| state.version <= from && place > state.silent_before;
        let state = changed.wait_timeout_while(state, hold, news).unwrap().0;
        if place <= state.silent_before {
            continue;
        }
        let body = list(state.version, false, &[]).to_string();
        drop(state);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        match fault {
            None => drop(writer.write_all(&[head.as_bytes(), body.as_bytes()].concat())),
            Some(Silent | NotConnected) => {}
            Some(Stalled) => {
                let _ = writer.write_all(&[head.as_bytes(), &body.as_bytes()[..body.len() / 2]].concat());
            }
            Some(Refused) => {
                let _ =
                    writer.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                return;
            }
        }
    }
}

/// A node's configuration with this discovery.
fn file(pushed: bool, discovery: SocketAddr) -> serde_json::Value {
    let mut config = config(&[]);
    config["settings"]["discovery"] = json!(if pushed { "pushed" } else { "on_request" });
    config["settings"]["rules"]["ask_within"] = json!(10_000_000_000_u64);
    config["settings"]["rules"]["drain_grace"] = json!(400_000_000);
    config["discovery"] = json!(discovery.to_string());
    config
}

fn known_within(took: Duration, allowed: u64) -> Result<(), String> {
    if took <= Duration::from_millis(allowed) { Ok(()) } else { Err(format!("known after {took:?}")) }
}

// The pending call gets no answer, and the following ones fail in this way: the change is known within 6 s.
#[test_case(true, &[Silent]; "silent, pushed")]
#[test_case(false, &[Silent]; "silent, asked")]
#[test_case(true, &[NotConnected]; "no way in, pushed")]
#[test_case(false, &[NotConnected]; "no way in, asked")]
#[test_case(true, &[Stalled, Refused]; "stalled and refused, pushed")]
#[test_case(false, &[Stalled, Refused]; "stalled and refused, asked")]
fn a_change_is_known_in_time_whatever_befell_the_calls(pushed: bool, faults: &[CallFault]) {
    in_time_unless_late(|| {
        // The first call is answered at once, and the second one is pending when the service stops answering.
        let service = Service::start(2, &[]);
        let node = Node::start(&file(pushed, service.address));
        service.wait_for(2);
        let silent = service.change(3, faults);
        let known = service.wait_for(3);
        node.end();
        (known_within(known - silent, 6000), service.was_late())
    });
}

// The service moves while a call is pending, and the first call at the new address fails in this way: its list is known within
// 4 s of SIGHUP.
#[test_case(true, Silent; "silent, pushed")]
#[test_case(false, Silent; "silent, asked")]
#[test_case(true, NotConnected; "no way in, pushed")]
#[test_case(false, NotConnected; "no way in, asked")]
fn what_a_service_that_moved_has_is_known_in_time(pushed: bool, fault: CallFault) {
    in_time_unless_late(|| {
        let (old, new) = (Service::start(2, &[]), Service::start(3, &[fault]));
        let node = Node::start(&file(pushed, old.address));
        old.wait_for(2);
        let state = old.change(2, &[]);
        node.reload(&file(pushed, new.address).to_string());
        let known = new.wait_for(3);
        node.end();
        (known_within(known - state, 4000), new.was_late())
    });
}
