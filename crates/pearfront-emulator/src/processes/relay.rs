//! Relay for one direction of a link between two processes, for UDP and TCP. It forwards, cuts, delays, loses,
//! duplicates, reorders, stalls and resets traffic as the test cluster sets it.

use rand::prelude::Rng;
use rand_chacha::ChaCha8Rng;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Receive buffer, bytes: the longest possible datagram.
const DATAGRAM: usize = 65_536;
/// Back-off before an address is bound again.
const BIND_AGAIN: Duration = Duration::from_millis(10);
/// Listen backlog, connections.
const BACKLOG: u32 = 64;

/// Network conditions of one direction.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weather {
    /// Datagrams are dropped.
    pub no_datagrams: bool,
    /// Streams stay open but stall; their data is delivered afterwards.
    pub no_streams: bool,
    /// Probability that a datagram is lost, and that it is duplicated.
    pub loss: f64,
    pub doubled: f64,
    /// Delay range, ms, drawn uniformly for each datagram, so that datagrams are reordered; streams are delayed by the
    /// mean.
    pub delay: (f64, f64),
}

impl Weather {
    pub const FINE: Self =
        Self { no_datagrams: false, no_streams: false, loss: 0.0, doubled: 0.0, delay: (0.0, 0.0) };
    pub const CUT: Self = Self { no_datagrams: true, no_streams: true, ..Self::FINE };
}

/// One direction between two processes.
pub struct Way {
    weather: watch::Sender<Weather>,
    /// Number of resets so far.
    resets: watch::Sender<u64>,
    pub passed: Cell<u64>,
    pub lost: Cell<u64>,
}

impl Way {
    pub fn new() -> Rc<Self> {
        let (weather, resets) = (watch::Sender::new(Weather::FINE), watch::Sender::new(0));
        Rc::new(Self { weather, resets, passed: Cell::new(0), lost: Cell::new(0) })
    }

    pub fn weather(&self) -> Weather {
        *self.weather.borrow()
    }

    pub fn set(&self, weather: Weather) {
        self.weather.send_replace(weather);
    }

    /// Resets all streams over it at once, as a middlebox that lost its connection state does.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    async fn open(&self) {
        let mut weather = self.weather.subscribe();
        // The wait can't fail: `self` owns the sender.
        let _ = weather.wait_for(|weather| !weather.no_streams).await;
    }
}

/// A relay listening at the address that one process uses for another.
pub struct Relay {
    pub at: SocketAddr,
    /// Current address of the target, which may restart at another one.
    pub target: Rc<Cell<SocketAddr>>,
    /// Direction from the relay's user to the target, and back.
    pub there: Rc<Way>,
    pub back: Rc<Way>,
    /// Whether the target runs. While it does not, the relay does not listen, so that connections are refused as at the
    /// target's own address.
    pub running: watch::Receiver<bool>,
    pub chance: Rc<RefCell<ChaCha8Rng>>,
}

impl Relay {
    pub fn start(self) -> Result<(), String> {
        let socket = std::net::UdpSocket::bind(self.at).and_then(|socket| {
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket)
        });
        let socket = Rc::new(socket.map_err(|error| format!("relay {}: {error}", self.at))?);
        let relay = Rc::new(self);
        spawn_local(relay.clone().datagrams(socket));
        spawn_local(relay.streams());
        Ok(())
    }

    async fn datagrams(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0; DATAGRAM];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
            let weather = self.there.weather();
            let (lost, doubled) = {
                let mut chance = self.chance.borrow_mut();
                (chance.random::<f64>() < weather.loss, chance.random::<f64>() < weather.doubled)
            };
            if weather.no_datagrams || lost {
                self.there.lost.set(self.there.lost.get() + 1);
                continue;
            }
            self.there.passed.set(self.there.passed.get() + 1);
            for _ in 0..=usize::from(doubled) {
                let (bytes, socket, target) = (buffer[..length].to_vec(), socket.clone(), self.target.get());
                let (least, most) = weather.delay;
                let delay = least + (most - least) * self.chance.borrow_mut().random::<f64>();
                if delay <= 0.0 {
                    let _ = socket.try_send_to(&bytes, target);
                    continue;
                }
                spawn_local(async move {
                    sleep(Duration::from_secs_f64(delay / 1000.0)).await;
                    let _ = socket.try_send_to(&bytes, target);
                });
            }
        }
    }

    async fn streams(self: Rc<Self>) {
        let mut running = self.running.clone();
        loop {
            if running.wait_for(|running| *running).await.is_err() {
                return;
            }
            let Ok(listener) = listen(self.at) else {
                sleep(BIND_AGAIN).await;
                continue;
            };
            loop {
                tokio::select! {
                    _ = running.wait_for(|running| !*running) => break,
                    Ok((stream, _)) = listener.accept() => {
                        spawn_local(self.clone().stream(stream));
                    }
                }
            }
        }
    }

    async fn stream(self: Rc<Self>, from: TcpStream) {
        // The kernel has accepted the connection; nothing is forwarded while streams stall.
        self.there.open().await;
        let Ok(to) = TcpStream::connect(self.target.get()).await else { return reset(&from) };
        let _ = (from.set_nodelay(true), to.set_nodelay(true));
        let (mut there, mut back) = (self.there.resets.subscribe(), self.back.resets.subscribe());
        let lingers = [SockRef::from(&from).try_clone(), SockRef::from(&to).try_clone()];
        let ((from_read, from_write), (to_read, to_write)) = (from.into_split(), to.into_split());
        tokio::select! {
            () = pump(from_read, to_write, &self.there) => {}
            () = pump(to_read, from_write, &self.back) => {}
            _ = there.changed() => lingers.iter().flatten().for_each(abort),
            _ = back.changed() => lingers.iter().flatten().for_each(abort),
        }
    }
}

fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// Sets zero linger, so that closing sends a reset and not an end of stream.
fn abort(socket: &socket2::Socket) {
    let _ = socket.set_linger(Some(Duration::ZERO));
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, way: &Way) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        way.open().await;
        let (least, most) = way.weather().delay;
        if most > 0.0 {
            sleep(Duration::from_secs_f64((least + most) / 2000.0)).await;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
