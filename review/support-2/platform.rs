//! Stand-ins for the scripts in `review/6` to `review/10`, with the standard library alone:
//!
//!     platform ports COUNT                    free loopback ports, one a line
//!     platform discovery ADDRESS FILE         discovery; each line of the file is an entry, lines are added at its end
//!     platform server ADDRESS FAILS FILE      a server that runs every request for 30 ms and notes it in the file; it answers
//!                                             200, but to each FAILS-th one 500 (0: to none)
//!     platform client ADDRESS CLASS COUNT FILE  keyed requests of that class, one behind the other; notes their answers
//!     platform slow-server ADDRESS PAUSE FILE  a server whose answers have 300,000 bytes, in pieces of 30,000 with so many
//!                                             ms between two; notes how much of each it could write
//!     platform reader ADDRESS CLASS COUNT FILE  requests that are safe to repeat, each on a connection of its own; notes how
//!                                             much of each answer came
//!     platform twice-server ADDRESS LATE FILE  a server that runs a request for 30 ms and answers with its id; each tenth
//!                                             answer is written again LATE ms later (0: none), if nothing waits then
//!     platform getter ADDRESS CLASS SECONDS FILE  safe requests on one kept connection, one behind the other; notes answers
//!                                             that were made for another request, and how many there were in all
//!     platform way LISTEN TARGET LEAST MOST   a way to a server that takes LEAST to MOST ms in each direction
//!     platform call ADDRESS METHOD PATH       one call; prints the status, or 000 without an answer within 1 s
//!     platform now                            ms of the monotonic clock that goes on while a process is stopped

use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// A call may be held for so long at most, ms.
const MAX_HOLD_MS: u64 = 60_000;
/// How long a server runs a request.
const RUN_TIME: Duration = Duration::from_millis(30);
/// How long an operator or the front waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

pub fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["ports", count] => ports(count.parse().expect("a count")),
        ["discovery", address, file] => {
            let file = file.to_string();
            listen(address, move |message| answer_discovery(message, &file));
        }
        ["server", address, fails, file] => {
            let (fails, count, file) = (fails.parse().expect("a count"), AtomicUsize::new(0), notes(file));
            listen(address, move |message| answer_request(message, fails, &count, &file));
        }
        ["client", address, class, count, file] => client(address, class, count.parse().expect("a count"), &notes(file)),
        ["slow-server", address, pause, file] => {
            let pause = Duration::from_millis(pause.parse().expect("a pause"));
            let file = Arc::new(notes(file));
            let listener = TcpListener::bind(address).expect("the address");
            for stream in listener.incoming().flatten() {
                let file = file.clone();
                std::thread::spawn(move || answer_slowly(stream, pause, &file));
            }
        }
        ["reader", address, class, count, file] => reader(address, class, count.parse().expect("a count"), &notes(file)),
        ["twice-server", address, late, file] => {
            let late = Duration::from_millis(late.parse().expect("a time"));
            let (file, count) = (Arc::new(notes(file)), Arc::new(AtomicUsize::new(0)));
            let listener = TcpListener::bind(address).expect("the address");
            for stream in listener.incoming().flatten() {
                let (file, count) = (file.clone(), count.clone());
                std::thread::spawn(move || answer_twice(stream, late, &count, &file));
            }
        }
        ["getter", address, class, seconds, file] => getter(address, class, seconds.parse().expect("a time"), &notes(file)),
        ["way", near, far, least, most] => {
            let time = |text: &str| text.parse::<f64>().expect("a time") / 1000.0;
            let delay = (time(least), time(most));
            let listener = TcpListener::bind(near).expect("the address");
            for stream in listener.incoming().flatten() {
                let far = far.to_string();
                std::thread::spawn(move || {
                    let Ok(other) = TcpStream::connect(far) else { return };
                    let (Ok(one), Ok(two)) = (stream.try_clone(), other.try_clone()) else { return };
                    delayed(stream, two, delay);
                    delayed(other, one, delay);
                });
            }
        }
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

/// Ports that are free for TCP and UDP; all are held until the last one is found. They lie below those that the kernel gives
/// to connections: one of these could be taken by any connection before its program listens there.
fn ports(count: usize) {
    const LOWEST: u64 = 10_000;
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    let given_from = range.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(32_768);
    let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time");
    let mut random = (time.as_nanos() as u64 ^ u64::from(std::process::id()) << 32) | 1;
    let mut held = Vec::new();
    while held.len() < count {
        // Xorshift.
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        let port = if given_from > 2 * LOWEST { LOWEST + random % (given_from - LOWEST) } else { 0 };
        let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) else { continue };
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
    let answer = Arc::new(answer);
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

/// The list is at version N with its first N lines; a call is told what came behind the version that it names.
fn answer_discovery(message: &Message, file: &str) -> (u16, String) {
    let (path, query) = message.target.split_once('?').unwrap_or((&message.target, ""));
    if path != "/discovery/hosts" {
        return (404, String::new());
    }
    let number = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.parse::<u64>().ok());
    let hold = Duration::from_millis(number("hold_ms=").unwrap_or(0).min(MAX_HOLD_MS));
    let started = Instant::now();
    loop {
        let text = std::fs::read_to_string(file).unwrap_or_default();
        let entries: Vec<&str> = text.lines().collect();
        let from = number("from=").filter(|from| (1..=entries.len() as u64).contains(from)).unwrap_or(0) as usize;
        if from < entries.len() || started.elapsed() >= hold {
            let (version, reset, changed) = (entries.len(), from == 0, entries[from..].join(","));
            return (200, format!(r#"{{"generation":{version},"reset":{reset},"instances":[{changed}]}}"#));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn notes(file: &str) -> Mutex<File> {
    Mutex::new(OpenOptions::new().create(true).append(true).open(file).expect("the file"))
}

/// One write for a line: several processes may write to the file.
fn add(file: &Mutex<File>, line: &str) {
    let _ = file.lock().expect("the file").write_all(line.as_bytes());
}

fn answer_request(message: &Message, fails: usize, count: &AtomicUsize, file: &Mutex<File>) -> (u16, String) {
    match (message.method.as_str(), message.target.as_str(), message.id.as_str()) {
        ("GET", "/alive", _) => (200, String::new()),
        ("GET", "/metrics/load", _) => (200, "TEXT utilization=0.10".into()),
        (_, _, "") => (404, String::new()),
        (method, target, id) => {
            std::thread::sleep(RUN_TIME);
            let number = count.fetch_add(1, Ordering::Relaxed) + 1;
            let status = if fails > 0 && number % fails == 0 { 500 } else { 200 };
            add(file, &format!("{} {id} {method} {target} {status}\n", uptime_ms()));
            (status, format!("answer to {id}"))
        }
    }
}

/// Sends keyed requests on one connection, 20 ms apart.
fn client(address: &str, class: &str, count: usize, file: &Mutex<File>) {
    let mut connection: Option<BufReader<TcpStream>> = None;
    for number in 0..count {
        std::thread::sleep(Duration::from_millis(20));
        let id = format!("{:08x}{number:08x}", std::process::id());
        let text = format!(
            "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: {id}\r\nX-Customer: acme\r\nX-Expires-In: 1.000\r\n\
             Idempotency-Key: {id}{id}\r\nContent-Length: 2\r\n\r\nhi"
        );
        let mut reader = match connection.take() {
            Some(reader) => reader,
            None => BufReader::new(TcpStream::connect(address).expect("the node")),
        };
        let _ = reader.get_ref().set_read_timeout(Some(Duration::from_millis(1600)));
        let status = reader.get_mut().write_all(text.as_bytes()).ok().and_then(|()| read_status(&mut reader));
        add(file, &format!("{} {id} {}\n", uptime_ms(), status.unwrap_or(0)));
        connection = status.map(|_| reader);
    }
}

/// Bytes of a slow server's answer, and of its pieces.
const ANSWER_BYTES: usize = 300_000;
const PIECE_BYTES: usize = 30_000;

/// Answers requests on one connection, piece by piece.
fn answer_slowly(stream: TcpStream, pause: Duration, file: &Mutex<File>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader) {
        if message.id.is_empty() {
            let (status, body) = if message.target == "/alive" { (200, "") } else { (404, "") };
            let _ = write!(writer, "HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            continue;
        }
        let mut written = 0;
        let head = format!("HTTP/1.1 200 -\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n");
        let mut is_open = writer.write_all(head.as_bytes()).is_ok();
        while is_open && written < ANSWER_BYTES {
            is_open = writer.write_all(&[b'x'; PIECE_BYTES]).is_ok();
            written += PIECE_BYTES;
            if written < ANSWER_BYTES {
                std::thread::sleep(pause);
            }
        }
        let what = if is_open { "written to its end" } else { "cut off by the node" };
        add(file, &format!("{} {} {what}, {written} bytes\n", uptime_ms(), message.id));
        if !is_open {
            return;
        }
    }
}

/// Sends requests and reads each answer to its end.
fn reader(address: &str, class: &str, count: usize, file: &Mutex<File>) {
    for number in 0..count {
        let id = format!("{:08x}{number:08x}", std::process::id());
        let text = format!(
            "GET /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: {id}\r\nX-Customer: acme\r\nX-Expires-In: 1.000\r\n\r\n"
        );
        let mut stream = TcpStream::connect(address).expect("the node");
        // Longer than any answer takes.
        let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
        let _ = stream.write_all(text.as_bytes());
        let mut reader = BufReader::new(stream);
        let (mut status, mut length, mut line) = (0, 0, String::new());
        while reader.read_line(&mut line).is_ok_and(|count| count > 0) && !line.trim_end().is_empty() {
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            } else if line.starts_with("HTTP/") {
                status = line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
            }
            line.clear();
        }
        let (mut got, mut piece) = (0, [0; 65536]);
        while got < length {
            match reader.read(&mut piece) {
                Ok(count @ 1..) => got += count,
                _ => break,
            }
        }
        let what = if got == length { "whole" } else { "broken" };
        add(file, &format!("{} {id} {status} {what} {got} of {length} bytes\n", uptime_ms()));
    }
}

/// Answers requests on one connection, some of them a second time.
fn answer_twice(stream: TcpStream, late: Duration, count: &AtomicUsize, file: &Mutex<File>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader) {
        if message.id.is_empty() {
            let (status, body) = if message.target == "/alive" { (200, "") } else { (404, "") };
            let _ = write!(writer, "HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            continue;
        }
        std::thread::sleep(RUN_TIME);
        let body = format!("answer to {}", message.id);
        let answer = format!("HTTP/1.1 200 -\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
        add(file, &format!("{} {} answered\n", uptime_ms(), message.id));
        if late.is_zero() || count.fetch_add(1, Ordering::Relaxed) % 10 != 9 {
            continue;
        }
        std::thread::sleep(late);
        // Not where a request has come meanwhile, or the end.
        let _ = writer.set_nonblocking(true);
        let waits = !matches!(writer.peek(&mut [0]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
        let _ = writer.set_nonblocking(false);
        if reader.buffer().is_empty() && !waits {
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
            add(file, &format!("{} {} answered a second time\n", uptime_ms(), message.id));
        }
    }
}

/// Passes on what comes in its order, each piece later by a time that is drawn between these, s.
fn delayed(mut from: TcpStream, mut to: TcpStream, (least, most): (f64, f64)) {
    let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time");
    let mut random = time.as_nanos() as u64 | 1;
    let (sender, pieces) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    std::thread::spawn(move || {
        let _ = from.set_nodelay(true);
        let mut piece = [0; 65536];
        while let Ok(count @ 1..) = from.read(&mut piece) {
            // Xorshift.
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            let delay = Duration::from_secs_f64(least + (most - least) * (random % 1000) as f64 / 1000.0);
            if sender.send((Instant::now() + delay, piece[..count].to_vec())).is_err() {
                return;
            }
        }
    });
    std::thread::spawn(move || {
        let _ = to.set_nodelay(true);
        for (at, piece) in pieces {
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            if to.write_all(&piece).is_err() {
                return;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
}

/// Sends requests for so many seconds.
fn getter(address: &str, class: &str, seconds: u64, file: &Mutex<File>) {
    let (started, mut connection): (_, Option<BufReader<TcpStream>>) = (Instant::now(), None);
    let (mut number, mut served) = (0, 0);
    while started.elapsed() < Duration::from_secs(seconds) {
        let id = format!("{:08x}{number:08x}", std::process::id());
        number += 1;
        let text = format!(
            "GET /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: {id}\r\nX-Customer: acme\r\nX-Expires-In: 1.000\r\n\r\n"
        );
        let mut reader = match connection.take() {
            Some(reader) => reader,
            None => BufReader::new(TcpStream::connect(address).expect("the node")),
        };
        let _ = reader.get_ref().set_read_timeout(Some(Duration::from_millis(1600)));
        let answer = reader.get_mut().write_all(text.as_bytes()).ok().and_then(|()| read_answer(&mut reader));
        if let Some((200, body)) = &answer {
            served += 1;
            if *body != format!("answer to {id}") {
                add(file, &format!("{} {id} foreign: {body}\n", uptime_ms()));
            }
        }
        connection = answer.map(|_| reader);
        std::thread::sleep(Duration::from_millis(20));
    }
    add(file, &format!("{} sent {number} served {served}\n", uptime_ms()));
}

/// Reads an answer with a length; its status.
fn read_status(reader: &mut BufReader<TcpStream>) -> Option<u16> {
    read_answer(reader).map(|(status, _)| status)
}

fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<(u16, String)> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
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
