//! Clients that hold as many descriptors as they can get, each kind in its own way, partly while discovery is down.

use crate::stand_ins::{
    Behavior, Client, Node, Platform, Server, config, entry, head, in_time, in_time_unless_late, list,
};
use serde_json::json;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};
use test_case::test_case;

/// What the clients do with the connections that they hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClientKind {
    Idle,
    PartialHead,
    /// Requests an answer of 8 MiB and reads nothing of it.
    ReadsNothing,
    /// Sends an unbuffered body one byte at a time.
    SendsSlowly,
}

use ClientKind::*;

impl ClientKind {
    fn begin(self, address: SocketAddr) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(address).ok()?;
        // Closing it sends a reset, which leaves no entry in the kernel's table: other tests read that table.
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        let first = match self {
            Idle => String::new(),
            PartialHead => "GET /read/it HTTP/1.1\r\nX-Tra".to_string(),
            ReadsNothing => head("read", "6", 0),
            SendsSlowly => head("book", "6", 60_000),
        };
        stream.write_all(first.as_bytes()).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(stream)
    }

    /// Continues its behaviour; returns whether the node still keeps the connection.
    fn keeps_connection(self, stream: &mut TcpStream) -> bool {
        if self == SendsSlowly && stream.write(b"x").is_err() {
            return false;
        }
        if self == ReadsNothing {
            // Unread data hides the end of the connection; the error of the reset shows it.
            return stream.take_error().is_ok_and(|error| error.is_none());
        }
        match stream.peek(&mut [0]) {
            Ok(length) => length > 0,
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        }
    }
}

/// Holds this many connections until it is stopped, and reopens each one that the node closes.
fn hold_connections(address: SocketAddr, kind: ClientKind, count: usize, stopped: &AtomicBool) {
    let mut open: Vec<TcpStream> = Vec::new();
    while !stopped.load(Ordering::Relaxed) {
        open.retain_mut(|stream| kind.keeps_connection(stream));
        let missing = count - open.len();
        open.extend((0..missing).filter_map(|_| kind.begin(address)));
        sleep(Duration::from_millis(10));
    }
}

fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Records the largest number of descriptors that the node has open, until it is stopped.
fn record_most_descriptors(node: &Node, most: &AtomicUsize, stopped: &AtomicBool) {
    while !stopped.load(Ordering::Relaxed) {
        most.fetch_max(descriptors(node.pid()), Ordering::Relaxed);
        sleep(Duration::from_millis(5));
    }
}

/// How long discovery is down.
const DOWN: Duration = Duration::from_secs(8);
/// Time from discovery's return until the node must know of a drain.
const DRAIN_KNOWN_WITHIN: Duration = Duration::from_secs(1);
/// Maximum time that an operator, or the sender of a probe, waits.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

// Clients hold all descriptors that they can get, and discovery is down for 8 s. When it returns, the node must know of a drain
// within one second; operators are answered and servers probed throughout, and the node never exceeds its descriptor limit.
#[test_case(Idle, 64, true; "idle, 64, pushed")]
#[test_case(Idle, 64, false; "idle, 64, asked")]
#[test_case(Idle, 256, true; "idle, 256, pushed")]
#[test_case(PartialHead, 64, true; "half a head, 64, pushed")]
#[test_case(PartialHead, 64, false; "half a head, 64, asked")]
#[test_case(ReadsNothing, 64, true; "reads nothing, 64, pushed")]
#[test_case(ReadsNothing, 64, false; "reads nothing, 64, asked")]
#[test_case(ReadsNothing, 256, true; "reads nothing, 256, pushed")]
#[test_case(SendsSlowly, 64, true; "sends slowly, 64, pushed")]
#[test_case(SendsSlowly, 64, false; "sends slowly, 64, asked")]
fn clients_take_nothing_that_discovery_servers_operators_and_probes_need(
    kind: ClientKind,
    sockets: usize,
    pushed: bool,
) {
    in_time(|| {
        let large = Server::start(Behavior::Serve(vec![b'x'; 8 * 1024 * 1024]));
        let mut config = config(&[large.address]);
        config["limits"]["sockets"] = json!(sockets);
        config["settings"]["discovery"] = json!(if pushed { "pushed" } else { "on_request" });
        config["settings"]["rules"]["drain_grace"] = json!(400_000_000);
        // Each probe uses a new connection.
        config["settings"]["limits"]["conn_idle"] = json!(1_000_000);
        let node = Node::start_for_operators(config);
        node.discovery.publish(2, list(2, false, &[]));
        node.discovery.wait_for(2);
        let (stopped, most) = (AtomicBool::new(false), AtomicUsize::new(0));
        let played = scope(|scope| {
            scope.spawn(|| hold_connections(node.address, kind, sockets + 20, &stopped));
            scope.spawn(|| record_most_descriptors(&node, &most, &stopped));
            sleep(Duration::from_secs(1));
            node.discovery.reset_open_connections(true);
            let down = Instant::now();
            let mut slowest = Duration::ZERO;
            while down.elapsed() < DOWN {
                let asked = Instant::now();
                assert_eq!(node.call("GET /_ready"), 200);
                slowest = slowest.max(asked.elapsed());
                sleep(Duration::from_millis(200));
            }
            let back = Instant::now();
            node.discovery.recover(3, list(3, false, &[entry("s0", large.address, "Terminating")]));
            while !node.discovery.is_known(3) && back.elapsed() < DOWN {
                sleep(Duration::from_millis(5));
            }
            let known = back.elapsed();
            stopped.store(true, Ordering::Relaxed);
            (known, slowest)
        });
        let counters = node.end();
        let (known, slowest) = played;
        let most = most.into_inner();
        println!(
            "{kind:?} {sockets} {pushed}: known {known:?}, operators {slowest:?}, {most} descriptors, {counters:?}"
        );
        if known > DRAIN_KNOWN_WITHIN
            || slowest > OPERATOR_TIMEOUT
            || most > sockets
            || counters["probes_failed"] > 0
        {
            return Err(format!("known {known:?}, operators {slowest:?}, {most} descriptors, {counters:?}"));
        }
        if counters["probes"] == 0 { Err("no probe".into()) } else { Ok(()) }
    });
}

/// Clients that hold or request connections besides the measured requests.
const CROWD: usize = 300;
/// Number of requests on separate connections, the interval between them, and the deadline of each.
const REQUESTS: usize = 40;
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const TIME: Duration = Duration::from_millis(600);

/// Maximum time from the handshake to the request: under pressure the node keeps a new connection for 20 ms.
const SENDS_WITHIN: Duration = Duration::from_millis(15);

/// Outcome of a request on a new connection.
#[derive(Debug)]
struct RequestResult {
    /// Status and latency of its answer, or how the connection ended without one.
    answer: Result<(String, Duration), String>,
    /// Whether its client sent it too late.
    was_late: bool,
}

impl RequestResult {
    fn is_served(&self) -> bool {
        matches!(&self.answer, Ok((status, _)) if status == "200")
    }
}

/// Sends a request on a new connection, this long after the handshake.
fn request_on_new_connection(address: SocketAddr, pause: Duration) -> RequestResult {
    let begun = Instant::now();
    let mut stream = match TcpStream::connect(address) {
        Ok(stream) => stream,
        Err(error) => return RequestResult { answer: Err(error.to_string()), was_late: false },
    };
    let connected = Instant::now();
    sleep(pause);
    let sent = stream.write_all(head("read", "0.6", 0).as_bytes());
    let was_late = connected.elapsed() > SENDS_WITHIN;
    stream.set_read_timeout(Some(TIME)).unwrap();
    let mut chunk = [0; 1024];
    let read = sent.and_then(|()| stream.read(&mut chunk));
    let taken = begun.elapsed().saturating_sub(pause);
    let text = String::from_utf8_lossy(&chunk).into_owned();
    let answer = match read {
        Ok(_) if text.starts_with("HTTP/1.1 ") && taken < TIME => Ok((text[9..12].to_string(), taken)),
        Ok(count) => Err(format!("after {taken:?} {count} bytes")),
        Err(error) => Err(format!("after {taken:?} {error}")),
    };
    RequestResult { answer, was_late }
}

// Clients that send nothing, or only part of a head, hold all connections and reconnect when closed; they come long before the
// requests or in a burst right before them. Each request on a new connection must be answered in time.
#[test_case(Idle, 64, 1000, 0; "idle, 64")]
#[test_case(Idle, 64, 50, 0; "idle, 64, a burst")]
#[test_case(Idle, 256, 1000, 0; "idle, 256")]
#[test_case(Idle, 256, 50, 0; "idle, 256, a burst")]
#[test_case(PartialHead, 64, 1000, 0; "half a head, 64")]
#[test_case(PartialHead, 256, 50, 0; "half a head, 256, a burst")]
#[test_case(Idle, 64, 1000, 5; "idle, 64, a moment behind the handshake")]
#[test_case(Idle, 256, 50, 5; "idle, 256, a burst, a moment behind the handshake")]
fn a_request_on_a_new_connection_finds_a_place_in_a_crowd_that_sends_none(
    kind: ClientKind,
    sockets: usize,
    before_ms: u64,
    pause_ms: u64,
) {
    in_time_unless_late(|| {
        let server = Server::start(Behavior::Serve(b"fine".to_vec()));
        let mut config = config(&[server.address]);
        config["limits"]["sockets"] = json!(sockets);
        let node = Node::start(&config);
        let (stopped, most) = (AtomicBool::new(false), AtomicUsize::new(0));
        let answers: Vec<_> = scope(|scope| {
            scope.spawn(|| hold_connections(node.address, kind, CROWD, &stopped));
            scope.spawn(|| record_most_descriptors(&node, &most, &stopped));
            sleep(Duration::from_millis(before_ms));
            let ask = |_| {
                sleep(REQUEST_INTERVAL);
                scope.spawn(|| request_on_new_connection(node.address, Duration::from_millis(pause_ms)))
            };
            let asked: Vec<_> = (0..REQUESTS).map(ask).collect();
            let answers = asked.into_iter().map(|asked| asked.join().unwrap()).collect();
            stopped.store(true, Ordering::Relaxed);
            answers
        });
        let (most, counters) = (most.into_inner(), node.end());
        let lost: Vec<_> = answers.iter().filter(|asked| !asked.is_served()).collect();
        let was_late = most <= sockets && lost.iter().all(|asked| asked.was_late);
        let slowest = answers.iter().flat_map(|asked| &asked.answer).map(|(_, taken)| taken).max();
        println!(
            "{kind:?} {sockets} {before_ms}: {} lost, slowest {slowest:?}, {most} descriptors",
            lost.len()
        );
        if lost.is_empty() && most <= sockets {
            return (Ok(()), false);
        }
        let problem =
            format!("{} of {REQUESTS} lost: {lost:?}, {most} descriptors, {counters:?}", lost.len());
        (Err(problem), was_late)
    });
}

// The process is stopped while clients hold its connections, and requests arrive. After resuming it used to treat all of them
// as connections that had held their places throughout, and closed those it had not examined. Requests may date from the start
// of the stop, so 503 is allowed for some.
#[test_case(Idle; "idle")]
#[test_case(PartialHead; "half a head")]
fn requests_that_come_in_a_crowd_while_the_process_stands_still_are_answered(kind: ClientKind) {
    const STOP: Duration = Duration::from_millis(700);
    const BEFORE_ITS_END: Duration = Duration::from_millis(250);
    in_time(|| {
        let server = Server::start(Behavior::Serve(b"fine".to_vec()));
        let mut config = config(&[server.address]);
        config["limits"]["sockets"] = json!(64);
        let node = Node::start(&config);
        let stopped = AtomicBool::new(false);
        let answers: Vec<_> = scope(|scope| {
            scope.spawn(|| hold_connections(node.address, kind, CROWD, &stopped));
            sleep(Duration::from_secs(1));
            node.signal("-STOP");
            node.wait_until_stopped();
            sleep(STOP - BEFORE_ITS_END);
            let asked: Vec<_> = (0..REQUESTS)
                .map(|_| scope.spawn(|| request_on_new_connection(node.address, Duration::ZERO)))
                .collect();
            sleep(BEFORE_ITS_END);
            node.signal("-CONT");
            let answers = asked.into_iter().map(|asked| asked.join().unwrap()).collect();
            stopped.store(true, Ordering::Relaxed);
            answers
        });
        let counters = node.end();
        let lost: Vec<_> = answers.iter().filter(|asked| asked.answer.is_err()).collect();
        if lost.is_empty() {
            return Ok(());
        }
        Err(format!("{} of {REQUESTS} lost: {lost:?}, {counters:?}", lost.len()))
    });
}

/// By how much the time announced to a server may exceed the client's remaining time, s.
const SLACK: f64 = 0.15;

// During a hand-over a request waits in the shared accept queue. The process that accepts it must count its deadline from when
// it can have arrived, not from its own start.
#[test_case(250; "a moment")]
#[test_case(1200; "long")]
fn a_request_that_waited_for_the_next_process_is_told_what_is_left(waited_ms: u64) {
    const DEADLINE: f64 = 2.5;
    in_time(|| {
        let server = Server::start(Behavior::Serve(b"fine".to_vec()));
        let (platform, config) = (Platform::new(), config(&[server.address]));
        let old = platform.start(&config);
        old.wait_for_call("GET /_ready", 200);
        let address = old.address;
        old.kill();
        let mut client = Client::connect(address).unwrap();
        let sent = Instant::now();
        client.send(&head("read", &DEADLINE.to_string(), 0), b"");
        sleep(Duration::from_millis(waited_ms));
        let new = platform.start(&config);
        assert_eq!(client.answer().map(|answer| answer.status()), Some(200));
        let left = DEADLINE - sent.elapsed().as_secs_f64();
        let told: f64 = server.requests()[0].headers["x-expires-in"].parse().unwrap();
        new.kill();
        if told <= left + SLACK { Ok(()) } else { Err(format!("told {told}, {left} left")) }
    });
}

// Connections that are queued when the process stops accepting count against the limit as usual: a process that was stopped at
// that moment must not exceed its descriptor limit.
#[test]
fn what_is_left_in_the_queue_at_the_end_takes_no_more_descriptors_than_there_are() {
    const SOCKETS: usize = 64;
    const CONNECTIONS: usize = 200;
    /// The process accepts until 2.4 s after SIGTERM, and is stopped at that time.
    const STOP_AFTER: Duration = Duration::from_millis(1000);
    const CONTINUE_AFTER: Duration = Duration::from_millis(2600);
    let server = Server::start(Behavior::NoAnswer);
    let mut config = config(&[server.address]);
    config["limits"]["sockets"] = json!(SOCKETS);
    let node = Node::start(&config);
    let mut held = node.client();
    held.send(&head("read", "60", 0), b"");
    server.wait_for("request 1");
    let told = Instant::now();
    node.signal("-TERM");
    sleep(STOP_AFTER.saturating_sub(told.elapsed()));
    node.signal("-STOP");
    node.wait_until_stopped();
    // Each would keep its place to the end: the rest of its body never arrives.
    let half = [head("book", "60", 1000).into_bytes(), vec![b'x'; 10]].concat();
    let connect = |_| {
        let mut stream = TcpStream::connect(node.address).unwrap();
        stream.write_all(&half).unwrap();
        stream
    };
    let _connections: Vec<TcpStream> = (0..CONNECTIONS).map(connect).collect();
    sleep(CONTINUE_AFTER.saturating_sub(told.elapsed()));
    let (stopped, most) = (AtomicBool::new(false), AtomicUsize::new(0));
    scope(|scope| {
        scope.spawn(|| record_most_descriptors(&node, &most, &stopped));
        node.signal("-CONT");
        while descriptors(node.pid()) > 0 {
            sleep(Duration::from_millis(5));
        }
        stopped.store(true, Ordering::Relaxed);
    });
    // Requests with incomplete bodies are dropped: they were never taken.
    let (most, log) = (most.into_inner(), node.log());
    assert!(most <= SOCKETS, "{most} descriptors, {log}");
    assert!(!log.contains(" shut_unread=0 "), "{log}");
}
