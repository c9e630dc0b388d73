//! What stands between processes: a relay at each direction of each link, by UDP and TCP, that passes on, cuts, delays,
//! loses, doubles, reorders, stalls and resets as it is told.

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

/// Longest datagram that can come, bytes.
const DATAGRAM: usize = 65_536;
/// Pause before an address is bound again.
const BIND_AGAIN: Duration = Duration::from_millis(10);
/// Connections that the kernel holds for a relay.
const BACKLOG: u32 = 64;

/// What befalls one direction.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weather {
    /// Datagrams don't pass, and don't come later.
    pub no_datagrams: bool,
    /// Streams stay open and nothing passes; it comes when this is over.
    pub no_streams: bool,
    /// Chance that a datagram is lost, and that it comes twice.
    pub loss: f64,
    pub doubled: f64,
    /// Delay, ms, drawn evenly for each datagram, so that they overtake one another; streams are late by the mean.
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
    /// Rises with each reset.
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

    /// All streams over it end at once, as when something between forgot them.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    async fn open(&self) {
        let mut weather = self.weather.subscribe();
        // The sender is this way's own.
        let _ = weather.wait_for(|weather| !weather.no_streams).await;
    }
}

/// A relay at one address, which one process takes for another's.
pub struct Relay {
    pub at: SocketAddr,
    /// Where the target is now: it may start again elsewhere.
    pub target: Rc<Cell<SocketAddr>>,
    /// From the one who uses it to the target, and back.
    pub there: Rc<Way>,
    pub back: Rc<Way>,
    /// Does the target run? An address where nothing listens refuses, and so does this.
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
        // Taken by the kernel; nothing of it comes through.
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

/// Closed so that the other end hears of a reset, not of an end.
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
