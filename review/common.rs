//! Small stand-ins that the cases share: HTTP messages, discovery, a node's file, a record of what happened. Standard
//! library only; every address is a loopback address.
#![allow(dead_code)]

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// A loopback address that is free just now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// Does the case run with its disruption?
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run: one line an event, with the time since the start in ms.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn open(path: &Path) -> Self {
        Self { file: Mutex::new(File::create(path).expect("record.txt")), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64() * 1e3;
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.1} {text}");
    }
}

/// An HTTP message: start line, headers with their names in lower case, body.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one message with a length; `None` if the connection ended before its end.
    pub fn read(from: &mut impl BufRead) -> Option<Self> {
        let mut message = Self { start: line(from)?, ..Self::default() };
        loop {
            let line = line(from)?;
            let Some((name, value)) = line.split_once(':') else { break };
            message.headers.push((name.to_lowercase(), value.trim().into()));
        }
        let length = message.header("content-length").map_or(0, |length| length.parse().unwrap_or(0));
        message.body = vec![0; length];
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The path of a request, with its query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

fn line(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    from.read_line(&mut line).ok()?;
    line.ends_with('\n').then(|| line.trim_end().to_string())
}

/// An answer with a length.
pub fn answer(status: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// One call on a connection of its own; the status and body of its answer.
pub fn call(address: SocketAddr, method: &str, path: &str, patience: Duration) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, patience).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").ok()?;
    let message = Message::read(&mut BufReader::new(stream))?;
    Some((message.status(), String::from_utf8_lossy(&message.body).into_owned()))
}

/// Waits until `GET /up` answers 200.
pub fn wait_until_up(address: SocketAddr) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if call(address, "GET", "/up", Duration::from_secs(1)).is_some_and(|(status, _)| status == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Serves each connection to a listener on a thread of its own.
pub fn serve_each(listener: TcpListener, each: impl Fn(TcpStream) + Send + Sync + 'static) {
    let each = std::sync::Arc::new(each);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = each.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || each(stream));
        }
    });
}

/// Servers in discovery's form, all ready and warm, in one zone.
pub fn instances(servers: &[SocketAddr]) -> String {
    let one = |(number, address): (usize, &SocketAddr)| {
        format!(
            "{{\"instanceId\":\"s-{number}\",\"hostPort\":\"{address}\",\"zone\":\"a\",\"machineType\":\"m1\",\"cell\":0,\
             \"lifecycle\":\"Ready\",\"weight\":1.0,\"startedAtMs\":0}}"
        )
    };
    servers.iter().enumerate().map(one).collect::<Vec<_>>().join(",")
}

/// Discovery whose list never changes: the whole list, and watches that wait in vain.
pub fn discovery(servers: &[SocketAddr]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let all = instances(servers);
    serve_each(listener, move |stream| {
        let mut writer = stream.try_clone().expect("a second handle");
        let mut reader = BufReader::new(stream);
        while let Some(request) = Message::read(&mut reader) {
            let query = |name: &str| {
                let pairs = request.target().split_once('?').map_or("", |(_, query)| query).split('&');
                pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)?.1.parse::<u64>().ok()
            };
            let known = query("from") == Some(1);
            if known {
                thread::sleep(Duration::from_millis(query("hold_ms").unwrap_or(0).min(60_000)));
            }
            let list = if known { "" } else { all.as_str() };
            let body = format!("{{\"generation\":1,\"reset\":{},\"instances\":[{list}]}}", !known);
            if writer.write_all(&answer("200 OK", &body)).is_err() {
                return;
            }
        }
    });
    address
}

/// A node's file, like `deploy/example.json`. `more` is put in front, each key with its comma.
pub fn node_file(servers: &[SocketAddr], more: &str) -> String {
    format!(
        r#"{{
  "seed": "8c1f30d27a5be964", {more}
  "limits": {{"memory_mb": 192, "sockets": 1024}},
  "known": {{"generation": 1, "reset": true, "instances": [{}]}},
  "settings": {{
    "siblings": 1, "tier": 0, "locality": 0, "round": 4000000, "discovery": "on_request",
    "azs": ["a"], "host_types": ["m1"],
    "customers": [{{"name": "acme", "quota_per_s": 1000.0}}],
    "profiles": [
      {{"name": "read", "effect": "safe", "contract_time": 1000000000, "outer_limit": 3000000000, "gain": 1.0}},
      {{"name": "pay", "effect": "unsafe", "contract_time": 2000000000, "outer_limit": 3000000000, "gain": 5.0}}
    ],
    "limits": {{"most_shots": 3, "cancel": true, "probes": true, "parallel_tries": true, "retry_after": true,
               "max_retry_after": 2000000000, "connect_timeout": 120000000, "conn_idle": 30000000000}},
    "deductions": {{"probe": 0.03}}, "objective_mix": {{"whole": 1.0}},
    "report": {{"fields": ["utilization"], "via": "probe"}},
    "rules": {{"ask_within": 10000000000, "cold": 9000000000, "cold_from": 0.3, "tip_multiple": 4.0,
              "overload_for": 2000000000}}
  }}
}}
"#,
        instances(servers)
    )
}

/// A number that looks random, from a counter.
pub fn scramble(mut number: u64) -> u64 {
    number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// A way of this length, in each direction, to a server: its own address in front of the server's.
pub fn distant(server: SocketAddr, way: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    serve_each(listener, move |near| {
        let Ok(far) = TcpStream::connect(server) else { return };
        let _ = far.set_nodelay(true);
        let back = (far.try_clone().expect("a second handle"), near.try_clone().expect("a second handle"));
        thread::spawn(move || carry(back.0, back.1, way));
        carry(near, far, way);
    });
    address
}

/// Carries all bytes of one direction, each so much later.
fn carry(mut from: TcpStream, mut to: TcpStream, way: Duration) {
    let (pieces, arrive) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    let writer = thread::spawn(move || {
        for (at, bytes) in arrive {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Write);
    });
    let mut buffer = vec![0; 65_536];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        if pieces.send((Instant::now() + way, buffer[..length].to_vec())).is_err() {
            break;
        }
    }
    drop(pieces);
    let _ = writer.join();
}
