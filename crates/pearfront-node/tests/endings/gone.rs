//! A client that closes or cancels has gone: no attempt begins for it, whatever the node was busy with when it went. What is
//! at the node's end of the connection counts, not when the node came to look: a node on little of a core stands still
//! again and again, so one is stopped here while both orders of a crossing become known at once.

use super::{Leaving, MORE, leave};
use crate::stand_ins::{Act, Caller, ESTABLISHED, Node, Server};
use crate::stand_ins::{config, entry, head, in_table, in_time, list, wait_for_table};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use socket2::SockRef;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// No attempt begins for a client that has been gone for longer.
const AT_MOST: Duration = Duration::from_millis(100);

/// A node's file where no attempt is called off and a connection may come up late.
fn patient(servers: &[SocketAddr]) -> Value {
    let mut config = super::without_cancels(&config(servers));
    config["settings"]["limits"]["connect_timeout"] = json!(60e9);
    config["settings"]["limits"]["probes"] = json!(false);
    config
}

/// Has seen all that was there to be seen: two calls behind one another, on a connection of their own.
fn look_twice(node: &Node) {
    let mut caller = node.caller();
    (0..2).for_each(|_| assert_eq!(caller.ask("GET /up HTTP/1.1\r\n\r\n", b"").status(), 200));
}

/// A server that takes what begins to come and answers nothing, and whether anything has come.
fn notes_bytes() -> (SocketAddr, Arc<AtomicBool>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, began) = (listener.local_addr().unwrap(), Arc::new(AtomicBool::new(false)));
    let seen = began.clone();
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let count = stream.read(&mut [0; 100]).unwrap_or_default();
            seen.fetch_or(count > 0, Ordering::Relaxed);
        }
    });
    (address, began)
}

// A client leaves while more of its body lies in its kernel than the node has room for: its end lies behind that, unseen. The
// server comes 0.3 s later.
#[test_case(1, 1_000_000; "with little room")]
#[test_case(192, 24_000_000; "with a body longer than is read ahead")]
fn an_attempt_does_not_begin_for_a_client_that_left_behind_a_body_held_back(memory_mb: usize, length: usize) {
    let (address, began) = notes_bytes();
    let mut config = patient(&[]);
    config["limits"]["memory_mb"] = json!(memory_mb);
    let node = Node::start(&config);
    let stream = node.caller().stream;
    stream.set_write_timeout(Some(Duration::from_millis(30))).unwrap();
    let _ = (&stream).write_all(&[head("pay", "60", length).as_bytes(), &vec![b'x'; length]].concat());
    stream.shutdown(Shutdown::Both).unwrap();
    sleep(3 * AT_MOST);
    node.discovery.publish(2, list(2, true, &[entry("s0", address, "Ready")]));
    node.discovery.wait_for(2);
    sleep(3 * AT_MOST);
    let counters = node.end();
    assert!(!began.load(Ordering::Relaxed), "{counters:?}");
}

// A client leaves behind more than its node's kernel holds: its end lies behind that, unseen.
#[test_case(200_000; "of which the rest comes late")]
#[test_case(1_200_000; "of which the rest is not looked at")]
fn an_attempt_does_not_begin_for_a_client_that_left_behind_much_unread(length: usize) {
    let (address, began) = notes_bytes();
    let node = Node::start(&patient(&[]));
    look_twice(&node);
    let mut caller = node.caller();
    caller.send(&[head("read", "60", 0), head("pay", "60", length)].concat(), &vec![b'x'; length]);
    caller.stream.shutdown(Shutdown::Both).unwrap();
    sleep(AT_MOST * 6 / 5);
    node.discovery.publish(2, list(2, true, &[entry("s0", address, "Ready")]));
    node.discovery.wait_for(2);
    sleep(3 * AT_MOST);
    let counters = node.end();
    assert!(!began.load(Ordering::Relaxed), "{counters:?}");
}

// The connection is up, and behind it the client went, before a node that stood still saw either. The attempt is ready to
// be written then, by a task that comes before the one which sees the client's end.
#[test_case("pay", 0, Leaving::Closes; "closed")]
#[test_case("read", 0, Leaving::ClosesBehindMore; "closed with bytes unread")]
#[test_case("pay", 0, Leaving::EndsSendingBehindMore; "only its sending, with bytes unread")]
#[test_case("book", 0, Leaving::ResetsBehindMore; "reset with bytes unread")]
#[test_case("pay", 1000, Leaving::Closes; "closed behind a body")]
fn a_connection_that_is_up_right_before_the_leaving_brings_nothing(
    profile: &str,
    length: usize,
    how: Leaving,
) {
    const CONNECTING: &str = "02";
    let (address, listener, queued) = Server::vanished();
    let node = Node::start(&patient(&[address]));
    let mut caller = node.caller();
    caller.send(&head(profile, "60", length), &vec![b'x'; length]);
    wait_for_table(&format!("{} {CONNECTING} ", in_table(address)), true);
    node.signal("-STOP");
    node.wait_until_stopped();
    drop(queued);
    let came = Arc::new(Mutex::new(Vec::new()));
    let seen = came.clone();
    spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let seen = seen.clone();
            spawn(move || {
                let mut bytes = Vec::new();
                let _ = stream.read_to_end(&mut bytes);
                seen.lock().unwrap().push(bytes.len());
            });
        }
    });
    // The kernel asks again after a second.
    wait_for_table(&format!("{} {ESTABLISHED} ", in_table(address)), true);
    let _open = leave(caller, "", b"", how);
    sleep(AT_MOST);
    node.signal("-CONT");
    look_twice(&node);
    let counters = node.end();
    assert_eq!((counters["client_left"], counters["attempt_never_sent"]), (1, 1), "{counters:?}");
    assert!(came.lock().unwrap().iter().all(|length| *length == 0), "{came:?}");
}

/// Lets a node have a small share of a core as long as this is there: it runs for a moment and then stands still.
struct Throttled {
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Throttled {
    fn start(node: &Node) -> Self {
        const RUNS: Duration = Duration::from_millis(20);
        const STANDS: Duration = Duration::from_millis(120);
        let (over, pid) = (Arc::new(AtomicBool::new(false)), Pid::from_raw(node.pid() as i32).unwrap());
        let told = over.clone();
        let thread = spawn(move || {
            while !told.load(Ordering::Relaxed) {
                kill_process(pid, Signal::STOP).unwrap();
                sleep(STANDS);
                kill_process(pid, Signal::CONT).unwrap();
                sleep(RUNS);
            }
        });
        Self { over, thread: Some(thread) }
    }
}

impl Drop for Throttled {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.thread.take().unwrap().join().unwrap();
    }
}

/// Serves every job at once, and notes for each since when at the earliest it can have been there: the kernel had
/// nothing of it when it was asked before. A machine that is late widens that, and never makes an attempt look later
/// than it was.
struct Arrivals {
    address: SocketAddr,
    earliest: Arc<Mutex<Vec<(String, Instant)>>>,
}

/// What the kernel was asked for last, and before.
type Looks = Rc<Cell<[Instant; 3]>>;

impl Arrivals {
    fn start() -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let earliest = Arc::default();
        let told = Arc::clone(&earliest);
        spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&runtime, Self::serve(listener, told));
        });
        Self { address, earliest }
    }

    async fn serve(listener: std::net::TcpListener, told: Arc<Mutex<Vec<(String, Instant)>>>) {
        const LOOK: Duration = Duration::from_millis(2);
        let listener = TcpListener::from_std(listener).unwrap();
        let looks: Looks = Rc::new(Cell::new([Instant::now(); 3]));
        let looking = looks.clone();
        spawn_local(async move {
            loop {
                tokio::time::sleep(LOOK).await;
                let [_, before, last] = looking.get();
                looking.set([before, last, Instant::now()]);
            }
        });
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(Self::answer(stream, looks.clone(), told.clone()));
        }
    }

    async fn answer(mut stream: TcpStream, looks: Looks, told: Arc<Mutex<Vec<(String, Instant)>>>) {
        // Nothing had come by then: of the first job the connection's own coming tells little, it may be written far later.
        let is_empty = SockRef::from(&stream).peek(&mut [MaybeUninit::uninit()]).is_err();
        let mut empty = if is_empty { Instant::now() } else { looks.get()[0] };
        let mut head = String::new();
        let mut bytes = [0; 4096];
        while let Ok(count) = stream.read(&mut bytes).await
            && count > 0
        {
            head.push_str(std::str::from_utf8(&bytes[..count]).unwrap());
            if head.ends_with("\r\n\r\n") {
                let id = head.lines().find_map(|line| line.strip_prefix("x-trace-id: ")).unwrap();
                told.lock().unwrap().push((id.to_string(), empty.max(looks.get()[0])));
                head.clear();
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
                // The next one can't have come before the answer to this one has gone.
                empty = Instant::now();
            }
        }
    }
}

/// Sends jobs that are held, and leaves in the moment in which the list lets them go. What came to the server counts by how
/// long after its client had gone it was sent at the least: no lateness of this machine adds to that.
fn leave_as_the_list_comes(callers: usize, throttled: bool) {
    /// Between two that leave: the last goes while the first ones' jobs are under way.
    const PACE: Duration = Duration::from_millis(2);
    let server = Arrivals::start();
    // Behind the first tier no window holds them back: all may go in one round.
    let mut config = patient(&[]);
    config["settings"]["tier"] = json!(1);
    let node = Node::start(&config);
    let hold = |number: usize| {
        let mut caller = node.caller();
        let head = head(["pay", "read", "book"][number % 3], "60", 0);
        caller.send(&head, b"");
        let id = head.split_once("X-Trace-Id: ").unwrap().1.split_once('\r').unwrap().0.to_string();
        (id, caller)
    };
    let held: Vec<(String, Caller)> = (0..callers).map(hold).collect();
    look_twice(&node);
    node.discovery.publish(2, list(2, true, &[entry("s0", server.address, "Ready")]));
    let throttled = throttled.then(|| Throttled::start(&node));
    let mut gone = BTreeMap::new();
    for (id, caller) in held {
        // A close would only take effect once no process that a neighbouring test is just starting has the socket as well.
        caller.stream.shutdown(Shutdown::Both).unwrap();
        gone.insert(id, Instant::now());
        sleep(PACE);
    }
    node.discovery.wait_for(2);
    look_twice(&node);
    drop(throttled);
    let counters = node.end();
    let jobs = server.earliest.lock().unwrap();
    let after = |(id, earliest): &(String, Instant)| earliest.saturating_duration_since(gone[id]);
    let late: Vec<_> = jobs.iter().map(after).filter(|after| *after > AT_MOST).collect();
    assert_eq!(counters["taken"], callers as u64);
    assert!(late.is_empty(), "{} of {} late, most {:?}", late.len(), jobs.len(), late.iter().max());
}

// A thousand in three plays: each leaves in the moment in which its job may go, and what was begun for it later than that
// counts. Most of the jobs are let go in one round, and the last of them waits for all others.
#[test_case(false; "on a core")]
#[test_case(true; "on a small share of one")]
fn a_thousand_callers_that_leave_as_their_jobs_may_go_have_none_begun_a_tenth_of_a_second_later(
    throttled: bool,
) {
    (0..3).for_each(|_| leave_as_the_list_comes(334, throttled));
}

/// A node that asks its servers what they hold before it draws one.
fn asking(servers: &[SocketAddr]) -> Value {
    let mut config = super::without_cancels(&config(servers));
    config["settings"]["report"]["fields"] = json!(["outstanding"]);
    config
}

/// A job's servers are asked, and its caller leaves; then they are answered, or the question ends by itself. Did it?
fn leave_while_servers_are_asked(answered: bool) -> Result<bool, String> {
    /// For the kernel to tell the node's end of it. The table of connections would be read for longer than a question lasts.
    const KNOWN: Duration = Duration::from_millis(20);
    let server = Server::start(Act::HoldProbes);
    let node = Node::start(&asking(&[server.address]));
    let mut caller = node.caller();
    caller.send(&head("pay", "60", 0), b"");
    server.wait_for("probe 1");
    caller.send(MORE, b"");
    caller.stream.shutdown(Shutdown::Both).unwrap();
    sleep(KNOWN);
    if answered {
        server.go_on();
    } else {
        server.wait_for("probe over 1");
    }
    look_twice(&node);
    let counters = node.end();
    server.go_on();
    match (server.jobs().len(), counters["client_left"], counters["attempts"]) {
        (0, 1, 0) => Ok(counters["probes_failed"] == 0),
        _ => Err(format!("{counters:?}")),
    }
}

// While servers are asked before a draw: the answers come behind the leaving, or never. On a machine so late that the
// question was over before its answer the play was the other one, and is played again.
#[test_case(true; "answered")]
#[test_case(false; "silent to its end")]
fn a_job_whose_servers_are_asked_ends_with_its_caller(answered: bool) {
    const MOST: usize = 20;
    in_time(|| {
        for _ in 0..MOST {
            if leave_while_servers_are_asked(answered)? == answered {
                return Ok(());
            }
        }
        Err(format!("the question was over before its answer {MOST} times"))
    });
}

// The same with the caller there: a question that is silent to its end holds its job up, and no more than that.
#[test]
fn a_job_whose_servers_are_silent_when_asked_goes_all_the_same() {
    let server = Server::start(Act::HoldProbes);
    let node = Node::start(&asking(&[server.address]));
    assert_eq!(node.caller().ask(&head("pay", "60", 0), b"").status(), 200);
    assert!(server.has("probe 1"), "it was not asked");
    server.go_on();
    node.end();
}
