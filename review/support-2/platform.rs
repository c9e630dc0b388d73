//! Stand-ins for the scripts in `review/6` to `review/10`, with the standard library alone:
//!
//!     platform ports COUNT                    free loopback ports, one a line
//!     platform discovery ADDRESS SERVER...    discovery with a list that does not change
//!     platform server ADDRESS                 a server that answers every request at once
//!     platform relay LISTEN TARGET ...        a way between nodes, for TCP and UDP, in pairs; silent while it is stopped
//!     platform call ADDRESS METHOD PATH       one call; prints the status, or 000 without an answer within 1 s
//!     platform now                            ms of the monotonic clock that goes on while a process is stopped

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

/// A call may be held for so long at most, ms.
const MAX_HOLD_MS: u64 = 60_000;
/// How long an operator or the front waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["ports", count] => ports(count.parse().expect("a count")),
        ["discovery", address, servers @ ..] => {
            let list = server_list(servers);
            listen(address, move |message| answer_discovery(message, &list));
        }
        ["server", address] => listen(address, answer_request),
        ["relay", ways @ ..] if ways.len() >= 2 && ways.len() % 2 == 0 => relay(ways),
        ["call", address, method, path] => println!("{}", call(address, method, path).unwrap_or("000".into())),
        ["now"] => println!("{}", uptime_ms()),
        _ => {
            eprintln!("platform: see the head of platform.rs");
            std::process::exit(2);
        }
    }
}

fn uptime_ms() -> u64 {
    let text = std::fs::read_to_string("/proc/uptime").expect("/proc/uptime");
    let seconds: f64 = text.split(' ').next().and_then(|word| word.parse().ok()).expect("a number");
    (seconds * 1000.0) as u64
}

/// Ports that are free for TCP and UDP; all are held until the last one is found.
fn ports(count: usize) {
    let mut held = Vec::new();
    while held.len() < count {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        if let Ok(socket) = UdpSocket::bind(listener.local_addr().expect("an address")) {
            held.push((listener, socket));
        }
    }
    held.iter().for_each(|(listener, _)| println!("{}", listener.local_addr().expect("an address").port()));
}

struct Message {
    method: String,
    target: String,
    id: String,
}

fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
    let mut words = line.split_whitespace();
    let mut message =
        Message { method: words.next()?.into(), target: words.next()?.into(), id: String::new() };
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "x-trace-id" => message.id = value.trim().into(),
            _ => {}
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some(message)
}

/// Answers messages on kept connections; the answer is a status and a body.
fn listen(address: &str, answer: impl Fn(&Message) -> (u16, String) + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).expect("the address");
    let answer = std::sync::Arc::new(answer);
    for stream in listener.incoming().flatten() {
        let answer = answer.clone();
        std::thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let Ok(mut writer) = stream.try_clone() else { return };
            let mut reader = BufReader::new(stream);
            while let Some(message) = read_message(&mut reader) {
                let (status, body) = answer(&message);
                let text = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

fn server_list(servers: &[&str]) -> String {
    let entry = |(number, address): (usize, &&str)| {
        format!(
            r#"{{"instanceId":"s-{}","hostPort":"{address}","zone":"a","machineType":"m1","cell":0,"lifecycle":"Ready","weight":1.0,"startedAtMs":0}}"#,
            number + 1
        )
    };
    servers.iter().enumerate().map(entry).collect::<Vec<_>>().join(",")
}

fn answer_discovery(message: &Message, list: &str) -> (u16, String) {
    let (path, query) = message.target.split_once('?').unwrap_or((&message.target, ""));
    if path != "/discovery/hosts" {
        return (404, String::new());
    }
    let number = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.parse::<u64>().ok());
    match number("from=") {
        Some(1) => {
            let hold = number("hold_ms=").unwrap_or(0).min(MAX_HOLD_MS);
            std::thread::sleep(Duration::from_millis(hold));
            (200, r#"{"generation":1,"reset":false,"instances":[]}"#.into())
        }
        _ => (200, format!(r#"{{"generation":1,"reset":true,"instances":[{list}]}}"#)),
    }
}

fn answer_request(message: &Message) -> (u16, String) {
    match (message.method.as_str(), message.target.as_str(), message.id.as_str()) {
        ("GET", "/alive", _) => (200, String::new()),
        ("GET", "/metrics/load", _) => (200, "TEXT utilization=0.10".into()),
        (_, _, "") => (404, String::new()),
        (.., id) => (200, format!("answer to {id}")),
    }
}

/// Passes on connections and datagrams. Between nodes a datagram names its sender, so its way back is another pair.
fn relay(ways: &[&str]) {
    let mut threads = Vec::new();
    for way in ways.chunks(2) {
        let listener = TcpListener::bind(way[0]).expect("the address");
        let socket = UdpSocket::bind(way[0]).expect("the address");
        let (target, datagram_target) = (way[1].to_string(), way[1].to_string());
        threads.push(std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = target.clone();
                std::thread::spawn(move || pass_on(stream, &target));
            }
        }));
        threads.push(std::thread::spawn(move || {
            let mut datagram = [0; 65536];
            while let Ok((count, _)) = socket.recv_from(&mut datagram) {
                let _ = socket.send_to(&datagram[..count], &datagram_target);
            }
        }));
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
}

fn pass_on(near: TcpStream, target: &str) {
    let Ok(far) = TcpStream::connect(target) else { return };
    let (Ok(from_near), Ok(to_near)) = (near.try_clone(), near.try_clone()) else { return };
    let (Ok(from_far), Ok(to_far)) = (far.try_clone(), far.try_clone()) else { return };
    let back = std::thread::spawn(move || copy(from_far, to_near));
    copy(from_near, to_far);
    let _ = back.join();
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let _ = to.set_nodelay(true);
    let mut piece = [0; 65536];
    while let Ok(count @ 1..) = from.read(&mut piece) {
        if to.write_all(&piece[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}

/// The status of the answer to one call.
fn call(address: &str, method: &str, path: &str) -> Option<String> {
    let started = Instant::now();
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT).ok()?;
    let text = format!("{method} {path} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = Vec::new();
    loop {
        let left = CALL_TIMEOUT.checked_sub(started.elapsed()).filter(|left| !left.is_zero())?;
        stream.set_read_timeout(Some(left)).ok()?;
        let mut piece = [0; 4096];
        match stream.read(&mut piece) {
            Ok(count) => {
                answer.extend_from_slice(&piece[..count]);
                let text = String::from_utf8_lossy(&answer).into_owned();
                if let Some(line) = text.split_once("\r\n").map(|(line, _)| line.to_string()) {
                    return line.split(' ').nth(1).map(str::to_string);
                }
                if count == 0 {
                    return None;
                }
            }
            Err(_) => return None,
        }
    }
}
