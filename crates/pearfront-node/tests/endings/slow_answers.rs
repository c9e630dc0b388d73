//! Answers over 64 KiB whose server pauses between two writes. Only their first bytes have to meet the deadline; the rest is
//! forwarded completely, whatever the node does meanwhile. An answer that stops for good holds its connections for a limited
//! time.

use super::deadline::{End, SILENCE_LIMIT, all_within, over, takes_nothing};
use crate::stand_ins::{Client, Node, Platform, Server, config, head, in_time, response};
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::{test_case, test_matrix};

/// Time that the clients wait for the first bytes.
const TIME: &str = "0.6";
/// First piece of an answer, which is too large to be buffered, and all of it, bytes.
const FIRST_PIECE: usize = 120_000;
const LENGTH: usize = 300_000;
/// How much later than the silence limit a client may see that an answer was broken off.
const TOLERANCE: Duration = Duration::from_millis(1500);
/// Longest time that a test waits for an answer.
const PATIENCE: Duration = Duration::from_secs(30);

/// How a server frames its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Form {
    Length,
    Chunked,
    UntilClose,
    /// The same in HTTP/1.0.
    Http10,
}

use Form::{Chunked, Http10, Length, UntilClose};

impl Form {
    fn head(self) -> String {
        match self {
            Length => format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n"),
            Chunked => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
            UntilClose => "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".into(),
            Http10 => "HTTP/1.0 200 OK\r\n\r\n".into(),
        }
    }

    fn piece(self, bytes: usize) -> Vec<u8> {
        let data = vec![b'x'; bytes];
        match self {
            Chunked => [format!("{bytes:x}\r\n").as_bytes(), &data, b"\r\n"].concat(),
            _ => data,
        }
    }
}

/// HTTP version of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Version {
    Http10,
    Http11,
}

impl Version {
    fn request(self, time: &str) -> String {
        let head = head("read", time, 0);
        if self == Version::Http10 { head.replace("HTTP/1.1", "HTTP/1.0") } else { head }
    }
}

/// A piece of an answer: its size in bytes, and the pause before it.
type Piece = (Duration, usize);

/// The first piece at once, and the rest after a pause.
fn one_pause(pause: Duration) -> Vec<Piece> {
    vec![(Duration::ZERO, FIRST_PIECE), (pause, LENGTH - FIRST_PIECE)]
}

/// A server that writes its answers in pieces.
struct PacedServer {
    address: SocketAddr,
    /// Answers of which the first piece has been written, and those whose connection ended before the last one was.
    begun: Arc<AtomicUsize>,
    cut_off: Arc<AtomicUsize>,
}

impl PacedServer {
    /// With `stops` the last piece is not the end of the answer, but no more comes.
    fn start(form: Form, pieces: Vec<Piece>, stops: bool) -> Self {
        let address = Server::unused_address();
        let listener = TcpListener::bind(address).unwrap();
        let (begun, cut_off) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let server = Self { address, begun: begun.clone(), cut_off: cut_off.clone() };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (pieces, begun, cut_off) = (pieces.clone(), begun.clone(), cut_off.clone());
                std::thread::spawn(move || {
                    let connection = PacedConnection { stream, form, pieces, stops, begun };
                    if connection.serve().is_err() {
                        cut_off.fetch_add(1, Ordering::Relaxed);
                    }
                });
            }
        });
        server
    }

    /// Waits until this many answers have begun.
    fn wait_for_begun(&self, count: usize) {
        let begun = Instant::now();
        while self.begun.load(Ordering::Relaxed) < count {
            assert!(begun.elapsed() < PATIENCE, "{} of {count} answers", self.begun.load(Ordering::Relaxed));
            sleep(Duration::from_millis(5));
        }
    }

    fn cut_off(&self) -> usize {
        self.cut_off.load(Ordering::Relaxed)
    }
}

/// The node closed the connection in the middle of an answer.
struct CutOff;

struct PacedConnection {
    stream: TcpStream,
    form: Form,
    pieces: Vec<Piece>,
    stops: bool,
    begun: Arc<AtomicUsize>,
}

impl PacedConnection {
    fn serve(mut self) -> Result<(), CutOff> {
        let mut request = [0; 4096];
        while self.stream.read(&mut request).is_ok_and(|count| count > 0) {
            if !request.starts_with(b"GET /read") {
                let status = if request.starts_with(b"POST") { "200 OK" } else { "404 Not Found" };
                let _ = self.stream.write_all(&response(status, b""));
                continue;
            }
            self.answer()?;
            if matches!(self.form, UntilClose | Http10) {
                break;
            }
        }
        Ok(())
    }

    fn answer(&mut self) -> Result<(), CutOff> {
        self.write(self.form.head().as_bytes())?;
        for (pause, bytes) in self.pieces.clone() {
            self.wait(pause)?;
            self.write(&self.form.piece(bytes))?;
            self.begun.fetch_add(1, Ordering::Relaxed);
        }
        if self.stops {
            return self.wait(Duration::from_secs(600));
        }
        if self.form == Chunked { self.write(b"0\r\n\r\n") } else { Ok(()) }
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), CutOff> {
        self.stream.write_all(bytes).map_err(|_| CutOff)
    }

    /// Pauses, unless the node ends the connection meanwhile. A read with a time-out would be up to an eighth late.
    fn wait(&mut self, pause: Duration) -> Result<(), CutOff> {
        let until = Instant::now() + pause;
        while let left = until.saturating_duration_since(Instant::now())
            && !left.is_zero()
        {
            if self.has_ended() {
                return Err(CutOff);
            }
            sleep(left.min(Duration::from_millis(20)));
        }
        Ok(())
    }

    fn has_ended(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).unwrap();
        !peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }
}

/// Reads an answer; whether it is whole. A client of HTTP/1.0 sees that by the orderly end of its connection.
fn read_whole(client: &mut Client, version: Version) -> Result<(), String> {
    if version == Version::Http11 {
        return match client.answer() {
            Some(answer) if answer.status() == 200 && answer.body.len() == LENGTH => Ok(()),
            Some(answer) => Err(format!("{}, {} bytes", answer.start, answer.body.len())),
            None => Err("cut off".into()),
        };
    }
    let (all, end) = all_within(&client.stream, PATIENCE);
    let body = body_length(&all);
    if body == LENGTH && end == End::Closed { Ok(()) } else { Err(format!("{body} bytes, {end:?}")) }
}

/// Length of what follows an answer's head, bytes.
fn body_length(answer: &[u8]) -> usize {
    let head = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    head.map_or(0, |at| answer.len() - at - 4)
}

/// Whether this end of its connection tells a client that the answer is not whole.
fn shows_break(all: &[u8], end: End, version: Version) -> bool {
    match version {
        Version::Http10 => end == End::Reset,
        Version::Http11 => end != End::Open && !all.ends_with(b"0\r\n\r\n"),
    }
}

/// When a server pauses.
#[derive(Debug, Clone, Copy)]
enum Stage {
    BeforeDeadline,
    AcrossDeadline,
    AfterDeadline,
    /// For longer than any network partition that a connection has to survive.
    LongAfterDeadline,
    /// Before each piece.
    Throughout,
}

use Stage::{AcrossDeadline, AfterDeadline, BeforeDeadline, LongAfterDeadline, Throughout};

impl Stage {
    fn time(self) -> &'static str {
        match self {
            BeforeDeadline => "3",
            Throughout => "1.5",
            _ => TIME,
        }
    }

    fn pieces(self) -> Vec<Piece> {
        let ms = Duration::from_millis;
        match self {
            BeforeDeadline | AcrossDeadline => one_pause(ms(1200)),
            AfterDeadline => vec![
                (Duration::ZERO, FIRST_PIECE),
                (ms(500), 30_000),
                (ms(300), 30_000),
                (ms(2500), LENGTH - FIRST_PIECE - 60_000),
            ],
            LongAfterDeadline => one_pause(ms(7000)),
            Throughout => vec![(ms(420), 30_000); LENGTH / 30_000],
        }
    }
}

// Answers were broken off once their server had paused for 0.35 s after the deadline, while it was still writing.
#[test_matrix(
    [Length, Chunked, UntilClose, Http10],
    [Version::Http11, Version::Http10],
    [BeforeDeadline, AcrossDeadline, AfterDeadline, LongAfterDeadline, Throughout]
)]
fn a_paused_answer_is_forwarded_completely(form: Form, version: Version, stage: Stage) {
    in_time(|| {
        let server = PacedServer::start(form, stage.pieces(), false);
        let node = Node::start(&config(&[server.address]));
        let mut client = node.client();
        client.send(&version.request(stage.time()), b"");
        read_whole(&mut client, version)?;
        drop(client);
        over(node);
        Ok(())
    });
}

// The same with a pipelined request that is not due yet: both answers are complete.
#[test_matrix([Length, Chunked, UntilClose, Http10])]
fn a_paused_answer_before_a_pipelined_request_is_forwarded_completely(form: Form) {
    in_time(|| {
        let server = PacedServer::start(form, one_pause(Duration::from_millis(1200)), false);
        let node = Node::start(&config(&[server.address]));
        let mut client = node.client();
        client.send(&[head("read", TIME, 0), head("read", "5", 0)].concat(), b"");
        read_whole(&mut client, Version::Http11)?;
        read_whole(&mut client, Version::Http11)?;
        drop(client);
        over(node);
        Ok(())
    });
}

// A drain waits for the end of an answer under way, and closes its connection then.
#[test_matrix([Length, Chunked, UntilClose, Http10], [Version::Http11, Version::Http10])]
fn a_paused_answer_is_forwarded_completely_during_a_drain(form: Form, version: Version) {
    in_time(|| {
        let server = PacedServer::start(form, one_pause(Duration::from_secs(5)), false);
        let node = Node::start_for_operators(config(&[server.address]));
        let mut client = node.client();
        client.send(&version.request(TIME), b"");
        server.wait_for_begun(1);
        assert_eq!(node.call("PUT /_lameduck/on"), 200);
        read_whole(&mut client, version)?;
        let (more, end) = all_within(&client.stream, Duration::from_secs(1));
        if end == End::Open || !more.is_empty() {
            return Err(format!("{} bytes behind it, {end:?}", more.len()));
        }
        over(node);
        Ok(())
    });
}

// A process that got SIGTERM goes on forwarding answers.
#[test_matrix([Length, Chunked, UntilClose, Http10], [Version::Http11, Version::Http10])]
fn a_paused_answer_is_forwarded_completely_after_sigterm(form: Form, version: Version) {
    in_time(|| {
        let server = PacedServer::start(form, one_pause(Duration::from_millis(2500)), false);
        let node = Node::start(&config(&[server.address]));
        let mut client = node.client();
        client.send(&version.request(TIME), b"");
        server.wait_for_begun(1);
        node.signal("-TERM");
        read_whole(&mut client, version)?;
        let counters = node.wait_for_end();
        assert_eq!((counters["answers_never"], counters["flows_broken"]), (0, 0), "{counters:?}");
        Ok(())
    });
}

// The same while another process takes over.
#[test_matrix([Length, Chunked, UntilClose, Http10], [Version::Http11, Version::Http10])]
fn a_paused_answer_is_forwarded_completely_during_an_upgrade(form: Form, version: Version) {
    in_time(|| {
        let server = PacedServer::start(form, one_pause(Duration::from_millis(3000)), false);
        let (platform, config) = (Platform::new(), config(&[server.address]));
        let old = platform.start(&config);
        old.wait_for_call("GET /_ready", 200);
        let mut client = old.client();
        client.send(&version.request(TIME), b"");
        server.wait_for_begun(1);
        let new = platform.start(&config);
        new.wait_for_call("GET /_ready", 200);
        old.signal("-TERM");
        read_whole(&mut client, version)?;
        let counters = old.wait_for_end();
        assert_eq!((counters["answers_never"], counters["flows_broken"]), (0, 0), "{counters:?}");
        new.end();
        Ok(())
    });
}

// An answer of unknown length may turn out small: within 64 KiB its client gets a complete error in time, not a part of it.
#[test_matrix([Chunked, UntilClose, Http10], [Version::Http11, Version::Http10])]
fn an_answer_of_unknown_size_that_pauses_within_64_kib_fails_by_its_deadline(form: Form, version: Version) {
    in_time(|| {
        let pieces = vec![(Duration::ZERO, 40_000), (Duration::from_millis(2000), LENGTH - 40_000)];
        let server = PacedServer::start(form, pieces, false);
        let node = Node::start(&config(&[server.address]));
        let mut client = node.client();
        client.send(&version.request(TIME), b"");
        let asked = Instant::now();
        let status = client.answer().map(|answer| answer.status());
        let took = asked.elapsed();
        if !matches!(status, Some(502..=504)) || took > Duration::from_millis(600) {
            return Err(format!("{status:?} after {took:?}"));
        }
        over(node);
        Ok(())
    });
}

// An answer that stops for good must not hold both connections for ever, or look complete to its client.
#[test_matrix([Length, Chunked, UntilClose, Http10], [Version::Http11, Version::Http10])]
fn an_answer_that_stops_is_broken_off_after_the_silence_limit(form: Form, version: Version) {
    in_time(|| {
        let server = PacedServer::start(form, vec![(Duration::ZERO, 200_000)], true);
        let node = Node::start(&config(&[server.address]));
        let mut client = node.client();
        client.send(&version.request(TIME), b"");
        let begun = Instant::now();
        let (all, end) = all_within(&client.stream, SILENCE_LIMIT + TOLERANCE);
        let took = begun.elapsed();
        if !shows_break(&all, end, version) || body_length(&all) < 200_000 || took < SILENCE_LIMIT {
            return Err(format!("{} bytes, {end:?} after {took:?}", all.len()));
        }
        drop(client);
        node.signal("-TERM");
        let log = node.log();
        let cause = "Stalled, 200000 bytes passed on, its server silent for 150";
        assert!(log.contains(cause) && log.contains(" flows_broken=1 "), "{log}");
        assert!(log.contains(" answers_late=0 answers_never=0 ") && log.contains(" jobs_held=0"), "{log}");
        assert_eq!(server.cut_off(), 1);
        Ok(())
    });
}

/// Stops the node from 14 s to 17 s after the start of an answer, over the silence limit.
fn stop_across_silence_limit(node: &Node, begun: Instant) {
    const FROM: Duration = Duration::from_secs(14);
    sleep(FROM.saturating_sub(begun.elapsed()));
    node.signal("-STOP");
    node.wait_until_stopped();
    sleep(Duration::from_secs(3));
    node.signal("-CONT");
}

// A node that was held up over the limit of an answer that had stopped gave it the whole limit once more.
#[test]
fn a_stopped_answer_is_broken_off_soon_after_the_node_was_held_up() {
    in_time(|| {
        let server = PacedServer::start(Length, vec![(Duration::ZERO, 200_000)], true);
        let node = Node::start(&config(&[server.address]));
        let mut client = node.client();
        client.send(&head("read", TIME, 0), b"");
        server.wait_for_begun(1);
        stop_across_silence_limit(&node, Instant::now());
        let (all, end) = all_within(&client.stream, TOLERANCE);
        if end == End::Open { Err(format!("{} bytes, held open", all.len())) } else { Ok(()) }
    });
}

// What arrived while the node was held up has yet to be read: the answer goes on.
#[test]
fn an_answer_that_goes_on_while_the_node_is_held_up_is_forwarded_completely() {
    in_time(|| {
        let server = PacedServer::start(Length, one_pause(Duration::from_millis(14_500)), false);
        let node = Node::start(&config(&[server.address]));
        let mut client = node.client();
        client.send(&head("read", TIME, 0), b"");
        server.wait_for_begun(1);
        stop_across_silence_limit(&node, Instant::now());
        read_whole(&mut client, Version::Http11)
    });
}

// A process that was told to end exited 3.5 s later, in the middle of answers that their servers were still sending.
#[test_matrix([Length, Chunked, UntilClose, Http10], [Version::Http11, Version::Http10])]
fn a_process_exits_after_the_last_answer_under_way(form: Form, version: Version) {
    in_time(|| {
        let pieces = vec![
            (Duration::ZERO, FIRST_PIECE),
            (Duration::from_millis(3000), 30_000),
            (Duration::from_millis(3000), LENGTH - FIRST_PIECE - 30_000),
        ];
        let server = PacedServer::start(form, pieces, false);
        let node = Node::start(&config(&[server.address]));
        let mut client = node.client();
        client.send(&version.request(TIME), b"");
        server.wait_for_begun(1);
        node.signal("-TERM");
        read_whole(&mut client, version)?;
        let answered = Instant::now();
        let counters = node.wait_for_end();
        if answered.elapsed() > Duration::from_millis(500) {
            return Err(format!("exited {:?} behind its last answer", answered.elapsed()));
        }
        assert_eq!((counters["answers_never"], counters["flows_broken"]), (0, 0), "{counters:?}");
        Ok(())
    });
}

// The same if the answer stops: its limit bounds how long the process goes on.
#[test_matrix([Length, Chunked, UntilClose, Http10], [Version::Http11, Version::Http10])]
fn a_process_exits_after_the_silence_limit_of_a_stopped_answer(form: Form, version: Version) {
    in_time(|| {
        let server = PacedServer::start(form, vec![(Duration::ZERO, 200_000)], true);
        let node = Node::start(&config(&[server.address]));
        let mut client = node.client();
        client.send(&version.request(TIME), b"");
        server.wait_for_begun(1);
        node.signal("-TERM");
        let begun = Instant::now();
        let (all, end) = all_within(&client.stream, SILENCE_LIMIT + TOLERANCE);
        let counters = node.wait_for_end();
        if !shows_break(&all, end, version) || begun.elapsed() > SILENCE_LIMIT + TOLERANCE {
            return Err(format!("{} bytes, {end:?} after {:?}", all.len(), begun.elapsed()));
        }
        assert_eq!((counters["flows_broken"], counters["answers_never"]), (1, 0), "{counters:?}");
        Ok(())
    });
}

// A client of HTTP/1.0 took an answer for complete that ended with the kill of the process.
#[test_matrix([Length, Chunked, UntilClose, Http10], [Version::Http11, Version::Http10])]
fn an_answer_under_way_when_the_process_is_killed_does_not_look_complete(form: Form, version: Version) {
    in_time(|| {
        let server = PacedServer::start(form, vec![(Duration::ZERO, 200_000)], true);
        let node = Node::start(&config(&[server.address]));
        let mut client = node.client();
        client.send(&version.request(TIME), b"");
        server.wait_for_begun(1);
        // By then the node has begun to forward the answer.
        sleep(Duration::from_millis(200));
        node.kill();
        let (all, end) = all_within(&client.stream, PATIENCE);
        if shows_break(&all, end, version) { Ok(()) } else { Err(format!("{} bytes, {end:?}", all.len())) }
    });
}

// The same for an answer that was broken off because its client had taken nothing of it for 15 s.
#[test_matrix([Version::Http11, Version::Http10])]
fn an_answer_that_its_client_does_not_take_does_not_look_complete(version: Version) {
    const LENGTH: usize = 16 * 1024 * 1024;
    in_time(|| {
        let server = PacedServer::start(UntilClose, vec![(Duration::ZERO, LENGTH)], false);
        let node = Node::start(&config(&[server.address]));
        let mut client = node.client();
        client.send(&version.request(TIME), b"");
        sleep(SILENCE_LIMIT + TOLERANCE);
        let (all, end) = all_within(&client.stream, PATIENCE);
        if body_length(&all) >= LENGTH || !shows_break(&all, end, version) {
            return Err(format!("{} bytes, {end:?}", all.len()));
        }
        let counters = node.end();
        assert_eq!((counters["flows_broken"], server.cut_off()), (1, 1), "{counters:?}");
        Ok(())
    });
}

/// Memory that the pages of the node count for a streamed answer: 64 KiB, and two buffers of 16 KiB a side, KiB.
const MEMORY_PER_ANSWER: usize = 64 + 4 * 16;

/// Starts this many answers that stop for good; returns their clients.
fn start_stopped_answers(node: &Node, server: &PacedServer, count: usize) -> Vec<Client> {
    let clients = (0..count).map(|_| {
        let mut client = node.client();
        client.send(&head("read", TIME, 0), b"");
        client
    });
    let clients = clients.collect();
    server.wait_for_begun(count);
    clients
}

/// Number of open descriptors of the node.
fn descriptors(node: &Node) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.pid())).unwrap().count()
}

// Answers that stop for good must not take more than this, or keep other requests from being answered by their deadline.
#[test]
fn stopped_answers_cost_two_descriptors_and_bounded_memory_each() {
    const COUNT: usize = 100;
    in_time(|| {
        let server = PacedServer::start(Chunked, vec![(Duration::ZERO, 200_000)], true);
        let node = Node::start(&config(&[server.address]));
        let mut other = node.client();
        assert_eq!(other.ask(&head("pay", TIME, 0), b"").status(), 200);
        let (descriptors_before, memory_before) = (descriptors(&node), node.peak_memory());
        let begun = Instant::now();
        let clients = start_stopped_answers(&node, &server, COUNT);
        while begun.elapsed() < SILENCE_LIMIT / 3 {
            let asked = Instant::now();
            assert_eq!(other.ask(&head("pay", TIME, 0), b"").status(), 200);
            if asked.elapsed() > Duration::from_millis(600) {
                return Err(format!("answered after {:?}", asked.elapsed()));
            }
            sleep(Duration::from_millis(100));
        }
        let used = descriptors(&node) - descriptors_before;
        let memory = node.peak_memory() - memory_before;
        println!("{COUNT} stopped answers: {used} descriptors, {memory} KiB");
        // Idle connections to the server may be open besides.
        assert!((2 * COUNT..=2 * COUNT + 4).contains(&used), "{used}");
        assert!(memory <= COUNT * MEMORY_PER_ANSWER, "{memory} KiB");
        for client in &clients {
            let left = (SILENCE_LIMIT + TOLERANCE).saturating_sub(begun.elapsed());
            let (all, end) = all_within(&client.stream, left.max(Duration::from_millis(1)));
            if !shows_break(&all, end, Version::Http11) {
                return Err(format!("{} bytes, {end:?} after {:?}", all.len(), begun.elapsed()));
            }
        }
        // The server's connection is closed right behind the client's.
        sleep(Duration::from_millis(200));
        let left = descriptors(&node);
        assert!(left <= descriptors_before + 4, "{left} descriptors, {descriptors_before} before");
        assert_eq!(other.ask(&head("pay", TIME, 0), b"").status(), 200);
        drop((clients, other));
        let counters = node.end();
        assert_eq!((counters["flows_broken"], server.cut_off()), (COUNT as u64, COUNT), "{counters:?}");
        Ok(())
    });
}

// Requests must not wait for descriptors that stopped answers hold, and be served again once those are broken off.
#[test_case(64)]
#[test_case(256)]
fn requests_are_rejected_at_once_while_stopped_answers_hold_all_descriptors(sockets: usize) {
    const AT_ONCE: Duration = Duration::from_millis(200);
    in_time(|| {
        let server = PacedServer::start(Length, vec![(Duration::ZERO, 200_000)], true);
        let mut config = config(&[server.address]);
        config["limits"]["sockets"] = json!(sockets);
        let node = Node::start(&config);
        let begun = Instant::now();
        let mut clients = Vec::new();
        let rejected_after = loop {
            assert!(clients.len() < sockets / 2, "{} answers", clients.len());
            let mut client = node.client();
            let asked = Instant::now();
            client.send(&head("read", TIME, 0), b"");
            let start = client.take(12);
            if start != b"HTTP/1.1 200" {
                assert_eq!(start, b"HTTP/1.1 503");
                break asked.elapsed();
            }
            clients.push(client);
        };
        println!("{} answers hold all of {sockets} descriptors", clients.len());
        if rejected_after > AT_ONCE {
            return Err(format!("rejected after {rejected_after:?}"));
        }
        sleep((SILENCE_LIMIT + TOLERANCE).saturating_sub(begun.elapsed()));
        let status = node.client().ask(&head("pay", TIME, 0), b"").status();
        if status != 200 {
            return Err(format!("{status} behind the limit"));
        }
        drop(clients);
        over(node);
        Ok(())
    });
}

/// A server that begins its answer before it has read the body, and takes nothing of the body in the first 3 s.
fn answers_before_the_body(pieces: Vec<Piece>) -> (SocketAddr, Arc<AtomicUsize>) {
    let (address, listener) = takes_nothing();
    let cut_off = Arc::<AtomicUsize>::default();
    let counted = cut_off.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (pieces, cut_off) = (pieces.clone(), counted.clone());
            std::thread::spawn(move || {
                let mut head = [0; 1024];
                let Ok(count) = stream.read(&mut head) else { return };
                if !head[..count].starts_with(b"POST") {
                    let _ = stream.write_all(&response("404 Not Found", b""));
                    return;
                }
                let mut reader = stream.try_clone().unwrap();
                std::thread::spawn(move || {
                    sleep(Duration::from_secs(3));
                    while reader.read(&mut [0; 65536]).is_ok_and(|count| count > 0) {}
                });
                let _ = stream.write_all(Length.head().as_bytes());
                for (pause, bytes) in pieces {
                    sleep(pause);
                    if stream.write_all(&vec![b'x'; bytes]).is_err() {
                        cut_off.fetch_add(1, Ordering::Relaxed);
                        return;
                    }
                }
                sleep(Duration::from_secs(5));
            });
        }
    });
    (address, cut_off)
}

// An answer was cut off if its server had paused for 2.5 s in taking the request's body, and went on with both.
#[test_case(1_000_000; "a body that is read ahead")]
#[test_case(30_000_000; "a body longer than is read ahead")]
fn an_answer_that_begins_before_the_body_is_taken_is_forwarded_completely(body: usize) {
    in_time(|| {
        let (address, cut_off) = answers_before_the_body(vec![(Duration::from_millis(420), 30_000); 10]);
        let node = Node::start(&config(&[address]));
        let mut client = node.client();
        let mut writer = client.stream.try_clone().unwrap();
        let request = [head("pay", "3", body).into_bytes(), vec![b'x'; body]].concat();
        let writing = std::thread::spawn(move || writer.write_all(&request).is_ok());
        let answer = read_whole(&mut client, Version::Http11);
        let counts = cut_off.load(Ordering::Relaxed);
        drop(client);
        let _ = node.end();
        let _ = writing.join();
        answer.map_err(|problem| format!("{problem}, {counts} cut off"))
    });
}
