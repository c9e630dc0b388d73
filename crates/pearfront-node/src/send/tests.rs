use super::*;
use crate::terms::Terms;
use pearfront_settings::Surroundings;
use std::io::Write;
use std::net::TcpListener;

/// A server's socket, its address, and what sends there.
fn stage() -> (TcpListener, SocketAddr, Rc<Senders>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = listener.local_addr().unwrap();
    let around = Surroundings { connect_timeout: 10_000.0, conn_idle: 1e6, ..Surroundings::default() };
    let terms = InForce::new(Terms { around, ..Terms::default() });
    (listener, server, Senders::new(terms, Room::new(64, 1.0), Rc::default()))
}

// What a server closed while idle must not cost a request its only attempt.
#[test]
fn a_connection_that_its_server_closed_is_not_used_again() {
    let (listener, server, senders) = stage();
    let (book, room) = (senders.book.clone(), senders.room.clone());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let usable = |idle: &Vec<Idle>| idle.iter().any(|idle| idle.is_quiet() && idle.link.is_usable());
        let until = async |wanted| {
            while senders.idle.borrow().get(&server).is_some_and(usable) != wanted {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        let link = senders.link(server).await.unwrap();
        let mut kept = listener.accept().unwrap().0;
        senders.keep_link(server, link);
        until(true).await;
        let link = senders.link(server).await.unwrap();
        assert_eq!((book.connections.value(), book.connections_reused.value()), (1, 1));
        senders.keep_link(server, link);
        until(true).await;
        // An answer that nobody asked for, or the end: neither is a connection to send on.
        kept.write_all(b"HTTP/1.1 408 Too late\r\n\r\n").unwrap();
        drop(kept);
        until(false).await;
        drop(senders.link(server).await.unwrap());
        assert_eq!((book.connections.value(), book.connections_reused.value()), (2, 1));
    });
    // Nothing is left open.
    drop(senders);
    assert_eq!(room.to_string(), "connections_open=0 jobs_held=0");
}

// What a server sends behind an answer, some milliseconds late, must not meet the next attempt: until then the
// connection rests, unless so many of them do that the node would hold more and more of the server's.
#[test]
fn a_connection_rests_behind_an_answer() {
    let (_listener, server, senders) = stage();
    let book = senders.book.clone();
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let kept = || senders.idle.borrow().get(&server).map_or(0, Vec::len);
        let give_back = async |link| {
            let before = kept();
            senders.keep_link(server, link);
            while kept() == before {
                tokio::task::yield_now().await;
            }
        };
        give_back(senders.link(server).await.unwrap()).await;
        tokio::time::advance(QUIET - Duration::from_millis(1)).await;
        let second = senders.link(server).await.unwrap();
        assert_eq!((book.connections.value(), book.connections_reused.value()), (2, 0));
        tokio::time::advance(Duration::from_millis(1)).await;
        give_back(senders.link(server).await.unwrap()).await;
        assert_eq!((book.connections.value(), book.connections_reused.value()), (2, 1));
        give_back(second).await;
        for _ in 2..MOST_RESTING {
            give_back(senders.new_link(server).await.unwrap()).await;
        }
        drop(senders.link(server).await.unwrap());
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
        let around = Surroundings {
            connect_timeout: limit.as_secs_f64() * 1000.0,
            conn_idle: 1e6,
            ..Surroundings::default()
        };
        let terms = InForce::new(Terms { around, ..Terms::default() });
        let senders = Senders::new(terms, Room::new(64, 1.0), Rc::default());
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let begun = Instant::now();
            let room_again = async {
                tokio::time::sleep(Duration::from_millis(20)).await;
                drop((listener.accept().unwrap(), crowd));
                // Later than that the machine was late, and a second dial may have met the full queue as well.
                begun.elapsed() < Duration::from_millis(90)
            };
            let (link, in_time) = tokio::join!(senders.link(server), room_again);
            in_time.then(|| (link.is_ok(), begun.elapsed()))
        })
    };
    let (came, took) = std::iter::repeat_with(in_time).flatten().next().unwrap();
    assert!(came && took < limit, "came up: {came}, after {took:?}");
}

// Clients that hold all that is theirs get no more by the end of a server's idle connection: a probe would find no place.
#[test]
fn an_idle_connection_to_a_server_makes_no_place_beyond_that_of_clients() {
    let (listener, server, senders) = stage();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut clients = Vec::new();
        while senders.room.has_last_caller_place() {
            clients.push(senders.room.caller_place());
        }
        let link = senders.link(server).await.unwrap();
        let _kept = listener.accept().unwrap().0;
        senders.keep_link(server, link);
        while !senders.idle.borrow().contains_key(&server) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert!(!senders.make_caller_place());
        assert!(senders.make_place());
    });
}
