use super::*;
use crate::message::{ClientCall, ClientRequest, decode_client_call};
use crate::runtime_settings::RuntimeSettings;
use crate::streaming::StreamedBody;
use bytes::Bytes;
use http_body_util::Either;
use hyper::Request;
use pearfront::interface::{DedupScope, Effect, Profile, Settings};
use pearfront_settings::NodeSettings;
use std::future::pending;
use std::io::Write;
use std::net::TcpListener;
use test_case::test_case;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// A server's socket, its address, and what sends there.
fn stage() -> (TcpListener, SocketAddr, Rc<ConnectionPool>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = listener.local_addr().unwrap();
    let node_settings =
        NodeSettings { connect_timeout: 10_000.0, idle_timeout: 1e6, ..NodeSettings::default() };
    let settings = SharedSettings::new(RuntimeSettings { node_settings, ..RuntimeSettings::default() });
    (listener, server, ConnectionPool::new(settings, Capacity::new(64, 1.0), Rc::default()))
}

// What a server closed while idle must not cost a request its only attempt.
#[test]
fn a_connection_that_its_server_closed_is_not_used_again() {
    let (listener, server, pool) = stage();
    let (book, room) = (pool.book.clone(), pool.room.clone());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let usable = |idle: &Vec<Idle>| idle.iter().any(|idle| idle.is_quiet() && idle.link.is_usable());
        let until = async |wanted| {
            while pool.idle.borrow().get(&server).is_some_and(usable) != wanted {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        let link = pool.link(server).await.unwrap();
        let mut kept = listener.accept().unwrap().0;
        pool.keep_link(server, link);
        until(true).await;
        let link = pool.link(server).await.unwrap();
        assert_eq!((book.connections.value(), book.connections_reused.value()), (1, 1));
        pool.keep_link(server, link);
        until(true).await;
        // An answer that nobody asked for, or the end: neither is a connection to send on.
        kept.write_all(b"HTTP/1.1 408 Too late\r\n\r\n").unwrap();
        drop(kept);
        until(false).await;
        drop(pool.link(server).await.unwrap());
        assert_eq!((book.connections.value(), book.connections_reused.value()), (2, 1));
    });
    // Nothing is left open.
    drop(pool);
    assert_eq!(room.to_string(), "connections_open=0 jobs_held=0");
}

// What a server sends behind an answer, some milliseconds late, must not meet the next attempt: until then the
// connection rests, unless so many of them do that the node would hold more and more of the server's.
#[test]
fn a_connection_rests_behind_an_answer() {
    let (_listener, server, pool) = stage();
    let book = pool.book.clone();
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let kept = || pool.idle.borrow().get(&server).map_or(0, Vec::len);
        let give_back = async |link| {
            let before = kept();
            pool.keep_link(server, link);
            while kept() == before {
                tokio::task::yield_now().await;
            }
        };
        give_back(pool.link(server).await.unwrap()).await;
        tokio::time::advance(QUIET - Duration::from_millis(1)).await;
        let second = pool.link(server).await.unwrap();
        assert_eq!((book.connections.value(), book.connections_reused.value()), (2, 0));
        tokio::time::advance(Duration::from_millis(1)).await;
        give_back(pool.link(server).await.unwrap()).await;
        assert_eq!((book.connections.value(), book.connections_reused.value()), (2, 1));
        give_back(second).await;
        for _ in 2..MOST_RESTING {
            give_back(pool.new_link(server).await.unwrap()).await;
        }
        drop(pool.link(server).await.unwrap());
        assert_eq!((book.connections.value(), kept()), (MOST_RESTING as u64, MOST_RESTING - 1));
    });
}

// The first dial meets a full queue and would be answered a second later; the server takes connections again long before.
#[test]
fn a_connection_that_comes_up_late_is_dialled_again_beside_it() {
    let limit = Duration::from_millis(800);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let in_time = || {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let server = listener.local_addr().unwrap();
        let crowd = std::net::TcpStream::connect(server).unwrap();
        let node_settings = NodeSettings {
            connect_timeout: limit.as_secs_f64() * 1000.0,
            idle_timeout: 1e6,
            ..NodeSettings::default()
        };
        let settings = SharedSettings::new(RuntimeSettings { node_settings, ..RuntimeSettings::default() });
        let pool = ConnectionPool::new(settings, Capacity::new(64, 1.0), Rc::default());
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let begun = Instant::now();
            let room_again = async {
                tokio::time::sleep(Duration::from_millis(20)).await;
                drop((listener.accept().unwrap(), crowd));
                // Later than that the machine was late, and a second dial may have met the full queue as well.
                begun.elapsed() < Duration::from_millis(90)
            };
            let (link, in_time) = tokio::join!(pool.link(server), room_again);
            in_time.then(|| (link.is_ok(), begun.elapsed()))
        })
    };
    let (came, took) = std::iter::repeat_with(in_time).flatten().next().unwrap();
    assert!(came && took < limit, "came up: {came}, after {took:?}");
}

// Clients that hold all that is theirs get no more by the end of a server's idle connection: a probe would find no place.
#[test]
fn an_idle_connection_to_a_server_makes_no_place_beyond_that_of_clients() {
    let (listener, server, pool) = stage();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut clients = Vec::new();
        while pool.room.has_reserve_client_slot() {
            clients.push(pool.room.take_client_slot());
        }
        let link = pool.link(server).await.unwrap();
        let _kept = listener.accept().unwrap().0;
        pool.keep_link(server, link);
        while !pool.idle.borrow().contains_key(&server) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert!(!pool.make_room_for_client());
        assert!(pool.make_place());
    });
}

// A server that has answered and takes no more of the request keeps neither a descriptor nor a task for good.
#[test]
fn a_connection_that_does_not_become_free_behind_its_answer_is_closed() {
    const PATIENCE: Duration = Duration::from_secs(10);
    let (listener, server, pool) = stage();
    let room = pool.room.clone();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut link = pool.link(server).await.unwrap();
        let mut accepted = listener.accept().unwrap().0;
        // The body is never whole: the message is on its way for as long as this end of it is kept.
        let (_pieces, rest) = mpsc::unbounded_channel();
        let body = Either::Right(StreamedBody::from_channel(Bytes::new(), rest, None));
        let request = Request::post("/pay/it").body(body).unwrap();
        let answer = async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            accepted.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
        };
        let (answered, ()) = tokio::join!(link.ask(request, 0), answer);
        assert!(answered.is_ok());
        pool.keep_link(server, link);
        let closed = async {
            while room.usage().connections > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(PATIENCE, closed).await.expect("it is still open");
    });
}

/// A request of a profile of its own.
fn request() -> ClientRequest {
    let profile = Profile {
        name: "read".into(),
        effect: Effect::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window: 0.0,
        latency_target: 0.0,
        gain: 0.0,
    };
    let policy_settings = Settings { profiles: vec![profile], ..Settings::default() };
    let node_settings = NodeSettings { profiles: vec!["read".into()], ..NodeSettings::default() };
    let settings = Rc::new(RuntimeSettings { policy_settings: Rc::new(policy_settings), node_settings });
    let head = Request::get("/read/it").header("X-Trace-Id", "1").header("X-Expires-In", "60");
    match decode_client_call(head.body(()).unwrap().into_parts().0, &settings, false) {
        Ok(ClientCall::Request(job)) => *job,
        _ => panic!("no request"),
    }
}

// An attempt that waits for a descriptor ends with whatever owns it, and nobody stands back for it any more.
#[test_case(0, ConnectionEnd::TooLateBefore; "its time is over")]
#[test_case(1, ConnectionEnd::CalledOffBefore; "its request has its answer")]
#[test_case(2, ConnectionEnd::CalledOffBefore; "called off")]
fn an_attempt_that_waits_for_a_descriptor_ends_with_its_owner(ended_by: usize, end: ConnectionEnd) {
    const AFTER: Duration = Duration::from_millis(50);
    let (_listener, server, pool) = stage();
    let room = pool.room.clone();
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let _held: Vec<_> =
            std::iter::from_fn(|| room.has_reserve_slot().then(|| room.take_slot())).collect();
        let ends =
            async |owner| if owner == ended_by { tokio::time::sleep(AFTER).await } else { pending().await };
        let (request, begun) = (request(), Instant::now());
        let attempt = pool.attempt(server, &request, ends(0), ends(1), || None, ends(2));
        let is_waited_for = async {
            tokio::time::sleep(AFTER / 2).await;
            room.is_waited_for()
        };
        let (attempt, is_waited_for) = tokio::join!(attempt, is_waited_for);
        assert_eq!((attempt.end, is_waited_for, room.is_waited_for()), (end, true, false));
        assert!(begun.elapsed() < 2 * AFTER, "{:?}", begun.elapsed());
    });
}
