//! Two servers, discovery and clients. Some answers come twice: the second copy is written 6 ms behind the first, and only
//! if nothing else waits on the connection. Clients check that each 200 answer was made for their own request.

#[path = "../common.rs"]
mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Clients, each of which sends its next request when it has its answer: some 110 requests a second with the servers' time.
const CLIENTS: u64 = 28;
/// A server answers what it holds at these intervals.
const TICK: Duration = Duration::from_millis(250);
/// How far behind the first a second copy is written, and one in how many answers comes twice.
const LATE: Duration = Duration::from_millis(6);
const ONE_IN: u64 = 10;
/// One way between the node's data centre and the servers'.
const WAY: Duration = Duration::from_millis(5);
/// How long clients send.
const PLAY: Duration = Duration::from_secs(60);

struct World {
    record: Record,
    start: Instant,
    answers: AtomicU64,
    copies: AtomicU64,
    served: AtomicU64,
    foreign: AtomicU64,
    other: AtomicU64,
    done: AtomicBool,
}

/// Serves one connection: one request at a time, answered with the request's own id in the body.
fn serve(world: &World, server: usize, stream: TcpStream) {
    let mut writer = stream.try_clone().expect("a second handle");
    let probe = stream.try_clone().expect("a third handle");
    let mut reader = BufReader::new(stream);
    while let Some(request) = Message::read(&mut reader) {
        if request.target().starts_with("/metrics/load") || request.target().starts_with("/alive") {
            if writer.write_all(&answer("200 OK", "TEXT util=0.3")).is_err() {
                return;
            }
            continue;
        }
        let Some(id) = request.header("x-trace-id") else { return };
        let passed = world.start.elapsed().as_nanos() % TICK.as_nanos();
        thread::sleep(TICK - Duration::from_nanos(passed as u64));
        let bytes = answer("200 OK", &format!("answer to {id}"));
        if writer.write_all(&bytes).is_err() {
            return;
        }
        let number = world.answers.fetch_add(1, Ordering::Relaxed);
        if trouble() && scramble(number) % ONE_IN == 0 {
            thread::sleep(LATE);
            let _ = probe.set_nonblocking(true);
            let waits = !matches!(probe.peek(&mut [0]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
            if !waits && reader.buffer().is_empty() {
                let _ = writer.write_all(&bytes);
                world.copies.fetch_add(1, Ordering::Relaxed);
                world.record.line(&format!("server s-{server} wrote its answer to {id} a second time"));
            }
            let _ = probe.set_nonblocking(false);
        }
    }
}

/// One client on a kept connection.
fn client(world: &World, node: SocketAddr, number: u64) {
    let mut connection: Option<(TcpStream, BufReader<TcpStream>)> = None;
    let mut count = 0;
    while !world.done.load(Ordering::Relaxed) {
        if connection.is_none() {
            let Ok(stream) = TcpStream::connect(node) else { continue };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
            connection = Some((stream.try_clone().expect("a second handle"), BufReader::new(stream)));
        }
        let Some((writer, reader)) = &mut connection else { continue };
        count += 1;
        let id = format!("{:016x}", scramble(number << 32 | count));
        let request = format!(
            "GET /read HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: {id}\r\nX-Customer: acme\r\nX-Expires-In: 3.000\r\n\r\n"
        );
        let answered = writer.write_all(request.as_bytes()).ok().and_then(|()| Message::read(reader));
        let Some(answered) = answered else {
            world.record.line(&format!("request {id}: no answer, connection ended"));
            world.other.fetch_add(1, Ordering::Relaxed);
            connection = None;
            continue;
        };
        let body = String::from_utf8_lossy(&answered.body).into_owned();
        if answered.status() == 200 && body == format!("answer to {id}") {
            world.served.fetch_add(1, Ordering::Relaxed);
        } else if answered.status() == 200 {
            world.foreign.fetch_add(1, Ordering::Relaxed);
            world.record.line(&format!("FOREIGN: request {id} was answered 200 with {body:?}"));
        } else {
            world.other.fetch_add(1, Ordering::Relaxed);
            world.record.line(&format!("request {id}: {}", answered.start));
            thread::sleep(Duration::from_millis(100));
        }
        if answered.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            connection = None;
        }
    }
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("a folder for the node's file"));
    let record = PathBuf::from(std::env::args().nth(2).expect("the record"));
    let world = Arc::new(World {
        record: Record::open(&record),
        start: Instant::now(),
        answers: AtomicU64::new(0),
        copies: AtomicU64::new(0),
        served: AtomicU64::new(0),
        foreign: AtomicU64::new(0),
        other: AtomicU64::new(0),
        done: AtomicBool::new(false),
    });
    let mut servers = Vec::new();
    for number in 0..2 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        servers.push(listener.local_addr().expect("its address"));
        let world = world.clone();
        serve_each(listener, move |stream| serve(&world, number, stream));
    }
    let servers: Vec<SocketAddr> = servers.into_iter().map(|server| distant(server, WAY)).collect();
    let discovery = discovery(&servers);
    let node = free_address();
    std::fs::write(folder.join("node.json"), node_file(&servers, "")).expect("node.json");
    // The script starts the node as soon as this file stands.
    std::fs::write(folder.join("start.new"), format!("{node} {discovery}\n")).expect("start");
    std::fs::rename(folder.join("start.new"), folder.join("start")).expect("start");
    if !wait_until_up(node) {
        println!("the node is not up");
        std::process::exit(2);
    }
    world.record.line(&format!("node up, {CLIENTS} clients begin, second copies: {}", trouble()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let world = world.clone();
            thread::spawn(move || client(&world, node, number))
        })
        .collect();
    thread::sleep(PLAY);
    world.done.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let (served, foreign, other) = (get(&world.served), get(&world.foreign), get(&world.other));
    let line = format!(
        "served {served}, foreign {foreign}, other answers {other}; servers gave {} answers and {} second copies",
        get(&world.answers),
        get(&world.copies)
    );
    world.record.line(&line);
    println!("{line}");
    std::process::exit(if foreign > 0 {
        1
    } else if served < 1000 {
        2
    } else {
        0
    });
}
