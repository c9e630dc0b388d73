//! Emulated servers on sockets: connections, messages and timers around the same `Server` that the model play
//! uses.

use super::fleet::Side;
use super::http_client::{Client, Reply, RequestData};
use super::processes::Process;
use crate::active_troubles::{ActiveTroubles, State};
use crate::dedup::DedupKeys;
use crate::record::{Answer, Attempt, AttemptEnd, RequestRecord, ServerLife};
use crate::scenario::{Effect, What};
use crate::server::{Arrival, Need, Server, ServerEvent};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use pearfront::interface::Address;
use rand::prelude::Rng;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, sleep_until};

/// Listen backlog of a server that is up.
const BACKLOG: i32 = 1024;
/// Number of own connections that fill the listen backlog of an unresponsive server; more than it holds.
const FILL: usize = 3;

/// A request that a server holds.
pub struct Pending {
    root: u64,
    asked: RequestData,
    deadline: f64,
    attempt: usize,
    starts: u64,
    done: RefCell<Option<oneshot::Sender<AttemptEnd>>>,
}

#[derive(Clone)]
pub struct Ticket(Rc<Pending>);

impl PartialEq for Ticket {
    fn eq(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }
}

pub struct Host {
    pub address: Address,
    pub tier: usize,
    pub zone: u16,
    pub cell: u16,
    pub kind: usize,
    pub id: RefCell<String>,
    pub state: Cell<State>,
    pub draining: Cell<bool>,
    pub life: Cell<usize>,
    pub started: Cell<f64>,
    pub server: RefCell<Server<Ticket>>,
    pub active_troubles: ActiveTroubles,
    /// Notified when its next due time may have changed.
    pub due_changed: Notify,
    /// Incremented with each start; connections of earlier starts are dropped.
    pub starts: watch::Sender<u64>,
    pub listening: RefCell<Option<JoinHandle<()>>>,
    /// Its own node, and the client that calls through it.
    pub node: RefCell<Option<Process>>,
    pub node_life: Cell<usize>,
    pub client: RefCell<Option<Rc<Client>>>,
    pub held: RefCell<Vec<Rc<Pending>>>,
    pub place: usize,
}

impl Host {
    pub fn is_up(&self) -> bool {
        self.state.get() == State::Up
    }
}

impl Side {
    pub fn record_life(&self, host: &Host) {
        let place = (host.tier, host.zone, host.cell, host.kind);
        let life = ServerLife::new(&self.scenario, host.id.borrow().clone(), place, host.started.get());
        let mut records = self.records.borrow_mut();
        host.life.set(records.servers.len());
        records.servers.push(life);
    }

    /// Listens at the server's address and serves connections.
    pub fn listen(self: &Rc<Self>, host: &Rc<Host>) -> Result<(), String> {
        let address = crate::list::socket(host.address);
        let bound = std::net::TcpListener::bind(address).and_then(|listener| {
            listener.set_nonblocking(true)?;
            SockRef::from(&listener).listen(BACKLOG)?;
            TcpListener::from_std(listener)
        });
        let listener = bound.map_err(|error| format!("{address}: {error}"))?;
        let (side, of) = (self.clone(), host.clone());
        let task = spawn_local(async move { accept(side, of, listener).await });
        if let Some(old) = host.listening.replace(Some(task)) {
            old.abort();
        }
        Ok(())
    }

    /// Advances the server in real time for the length of the play.
    pub async fn drive(self: Rc<Self>, host: Rc<Host>) {
        loop {
            let due = host.server.borrow().due();
            if due.is_finite() && host.state.get() != State::Down {
                tokio::select! {
                    () = host.due_changed.notified() => {}
                    () = sleep_until(self.clock.get().at(due)) => {
                        let late = (self.clock.get().now() - due).max(0.0) * 1000.0;
                        self.late.borrow_mut().saturating_record(late as u64);
                    }
                }
            } else {
                host.due_changed.notified().await;
            }
            self.catch_up(&host);
        }
    }

    pub fn catch_up(self: &Rc<Self>, host: &Rc<Host>) {
        let now = self.clock.get().now();
        let events = host.server.borrow_mut().advance(now);
        for (Ticket(request), what) in events {
            match what {
                ServerEvent::Began => {}
                ServerEvent::Calls => self.call_next_tier(host, request),
                ServerEvent::Done => {
                    let keyed = self.scenario.profiles[request.asked.profile].effect == Effect::Keyed;
                    let first = self.repeats(host, &request.asked, DedupKeys::work_through);
                    self.records.borrow_mut().attempts[request.attempt].effect = first || !keyed;
                    self.end(host, &request, AttemptEnd::Served);
                }
                ServerEvent::Failed => self.end(host, &request, AttemptEnd::Error),
            }
        }
    }

    fn end(&self, host: &Host, request: &Rc<Pending>, how: AttemptEnd) {
        host.held.borrow_mut().retain(|other| !Rc::ptr_eq(other, request));
        self.records.borrow_mut().attempts[request.attempt].ended = Some((self.clock.get().now(), how));
        let lost =
            self.rng.borrow_mut().random::<f64>() >= host.active_troubles.unaffected_share(What::LostAnswers);
        let done = request.done.take();
        match done {
            // The connection stays open without an answer.
            Some(done) if lost => self.unanswered.borrow_mut().push(done),
            Some(done) => drop(done.send(how)),
            None => {}
        }
    }

    fn repeats(
        &self,
        host: &Host,
        asked: &RequestData,
        ask: impl Fn(&mut DedupKeys, u64, f64, f64) -> bool,
    ) -> bool {
        let mut groups = self.repeats.borrow_mut();
        let repeats = groups.of(&self.scenario, host.tier, (host.zone, host.cell), asked.profile);
        let window = self.scenario.profiles[asked.profile].window_s * 1000.0;
        repeats.is_some_and(|repeats| ask(repeats, asked.key, self.clock.get().now(), window))
    }

    fn call_next_tier(self: &Rc<Self>, host: &Rc<Host>, request: Rc<Pending>) {
        let now = self.clock.get().now();
        let client = host.client.borrow().clone();
        let Some(client) = client.filter(|_| request.deadline > now) else {
            return self.call_ended(host, &request, false);
        };
        let trace = self.next_trace();
        let fan = request.asked.fan * f64::from(self.scenario.tiers[host.tier].calls);
        let asked = RequestData { fan, ..request.asked.clone() };
        let place = {
            let mut records = self.records.borrow_mut();
            records.requests.push(RequestRecord {
                trace,
                root: request.root,
                ask: None,
                node: host.node_life.get(),
                tier: host.tier + 1,
                profile: asked.profile,
                key: asked.key,
                sent: now,
                deadline: request.deadline,
                left: None,
                answers: Vec::new(),
                cut: false,
            });
            records.requests.len() - 1
        };
        let (side, host) = (self.clone(), host.clone());
        spawn_local(async move {
            let slack = side.scenario.rules.slack_ms;
            let until = side.clock.get().at(request.deadline + slack);
            let heard =
                tokio::time::timeout_at(until, client.ask(trace, &asked, request.deadline - now, || {}))
                    .await;
            let at = side.clock.get().now();
            let served = {
                let request = &mut side.records.borrow_mut().requests[place];
                match heard {
                    Ok(Reply::Answer { answer, body, .. }) => {
                        request.answers.push(crate::record::Answered { at, answer, body });
                        answer == Answer::Served
                    }
                    Ok(Reply::Refused | Reply::Cut) => {
                        request.cut = true;
                        false
                    }
                    Err(_) => {
                        request.left = Some(at);
                        false
                    }
                }
            };
            side.call_ended(&host, &request, served);
        });
    }

    fn call_ended(self: &Rc<Self>, host: &Rc<Host>, request: &Rc<Pending>, good: bool) {
        if request.starts != *host.starts.borrow() {
            return;
        }
        self.catch_up(host);
        let ended = host.server.borrow_mut().call_ended(&Ticket(request.clone()), good);
        if ended.is_some() {
            self.end(host, request, AttemptEnd::Error);
        }
        host.due_changed.notify_one();
    }

    /// The process ended with all requests it held.
    pub fn lose_all(&self, host: &Host) {
        let now = self.clock.get().now();
        for request in host.held.take() {
            self.records.borrow_mut().attempts[request.attempt].ended = Some((now, AttemptEnd::Lost));
        }
        host.starts.send_modify(|starts| *starts += 1);
    }

    /// Reads a request completely, passes it to the server and answers.
    async fn request(
        self: Rc<Self>,
        host: Rc<Host>,
        http_request: Request<Incoming>,
        new: bool,
    ) -> Response<Full<Bytes>> {
        let sent = self.clock.get().now();
        let (head, body) = http_request.into_parts();
        let Some((trace, asked)) = self.decode(&head) else {
            return answer(StatusCode::NOT_FOUND, "no job of this play");
        };
        if body.collect().await.is_err() {
            return answer(StatusCode::BAD_REQUEST, "half a body");
        }
        let starts = *host.starts.borrow();
        self.wait_while_silent(&host).await;
        self.catch_up(&host);
        let now = self.clock.get().now();
        let tier = &self.scenario.tiers[host.tier];
        let own = asked.work * tier.work / asked.fan;
        let fails =
            self.rng.borrow_mut().random::<f64>() >= host.active_troubles.unaffected_share(What::FastErrors);
        let need = Need {
            work: own + if new { tier.server.connect_work_ms } else { 0.0 },
            calls: tier.calls,
            fails,
            repeat: self.repeats(&host, &asked, |repeats, key, now, _| repeats.knows(key, now)),
        };
        let attempt = self.record_attempt(&host, trace, sent, now, own);
        let (done, is_done) = oneshot::channel();
        let left =
            head.headers.get("x-expires-in").and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
        let pending = Rc::new(Pending {
            root: asked.root,
            asked,
            deadline: now + left.unwrap_or(0.0) * 1000.0,
            attempt,
            starts,
            done: RefCell::new(Some(done)),
        });
        let arrival = host.server.borrow_mut().arrive(Ticket(pending.clone()), need);
        match arrival {
            Arrival::Began | Arrival::Waits => host.held.borrow_mut().push(pending.clone()),
            Arrival::TurnedAway => self.end(&host, &pending, AttemptEnd::TurnedAway),
            Arrival::Fell => {
                let life = host.life.get();
                self.records.borrow_mut().servers[life].fell = Some(now);
                self.note(format!("{} falls over: cold and sent too much", host.id.borrow()));
                host.held.borrow_mut().push(pending.clone());
                if let Some(listening) = host.listening.take() {
                    listening.abort();
                }
                self.lose_all(&host);
            }
        }
        host.due_changed.notify_one();
        let mut watch = Watch { side: self.clone(), host: host.clone(), pending, over: false };
        let how = is_done.await;
        watch.over = true;
        match how {
            Ok(AttemptEnd::Served) => answer(StatusCode::OK, trace.to_string()),
            Ok(AttemptEnd::TurnedAway) => {
                let mut full = answer(StatusCode::SERVICE_UNAVAILABLE, "full");
                full.headers_mut().insert("x-never-ran", hyper::header::HeaderValue::from_static("1"));
                full
            }
            _ => answer(StatusCode::INTERNAL_SERVER_ERROR, "error"),
        }
    }

    fn record_attempt(&self, host: &Host, trace: u64, sent: f64, came: f64, work: f64) -> usize {
        let mut records = self.records.borrow_mut();
        records.attempts.push(Attempt {
            trace,
            server: host.life.get(),
            sent,
            came,
            work,
            ended: None,
            effect: false,
            called_off: None,
        });
        records.attempts.len() - 1
    }

    /// An unresponsive machine does not answer on any connection.
    async fn wait_while_silent(&self, host: &Host) {
        if host.state.get() == State::Silent {
            std::future::pending::<()>().await;
        }
    }

    fn decode(&self, head: &hyper::http::request::Parts) -> Option<(u64, RequestData)> {
        let trace = head.headers.get("x-trace-id")?.to_str().ok()?.parse().ok()?;
        let name = head.uri.path().split('/').nth(1)?;
        let profile = self.scenario.profiles.iter().position(|profile| profile.name == name)?;
        let query = head.uri.query()?;
        let figure = |key: &str| -> Option<f64> {
            query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('=')?.parse().ok())
        };
        let key = head.headers.get("idempotency-key").and_then(|key| key.to_str().ok()?.parse().ok());
        let asked = RequestData {
            profile,
            customer: figure("c")? as usize,
            key: key.unwrap_or(0),
            work: figure("w")?,
            fan: figure("f")?,
            root: figure("r")? as u64,
        };
        Some((trace, asked))
    }

    async fn probe(self: Rc<Self>, host: Rc<Host>) -> Response<Full<Bytes>> {
        self.wait_while_silent(&host).await;
        if host.active_troubles.has(What::LostReports) {
            std::future::pending::<()>().await;
        }
        self.catch_up(&host);
        self.records.borrow_mut().probes += 1;
        let mut server = host.server.borrow_mut();
        server.add_work(self.scenario.tiers[host.tier].server.probe_work_ms);
        let report =
            if host.active_troubles.has(What::StaleReports) { server.old_report() } else { server.report() };
        let text = format!(
            "TEXT inflight={}, queue={}, util={:.3}",
            report.held, report.waiting, report.utilisation
        );
        answer(StatusCode::OK, text)
    }
}

/// Notifies the server when the connection of a request is closed before the answer.
struct Watch {
    side: Rc<Side>,
    host: Rc<Host>,
    pending: Rc<Pending>,
    over: bool,
}

impl Drop for Watch {
    fn drop(&mut self) {
        if self.over || self.pending.starts != *self.host.starts.borrow() {
            return;
        }
        let now = self.side.clock.get().now();
        let attempt = self.pending.attempt;
        if self.side.records.borrow().attempts[attempt].ended.is_none() {
            self.side.records.borrow_mut().attempts[attempt].called_off = Some(now);
        }
        let dropped = self.host.server.borrow_mut().call_off(&Ticket(self.pending.clone()));
        if dropped {
            self.side.records.borrow_mut().attempts[attempt].ended = Some((now, AttemptEnd::Dropped));
            self.host.held.borrow_mut().retain(|other| !Rc::ptr_eq(other, &self.pending));
        }
        self.host.due_changed.notify_one();
    }
}

pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
}

async fn accept(side: Rc<Side>, host: Rc<Host>, listener: TcpListener) {
    let mut filling: Vec<JoinHandle<()>> = Vec::new();
    loop {
        if host.state.get() == State::Silent {
            // The listen backlog is reduced to its minimum and filled, so that further connections are never
            // established.
            let _ = SockRef::from(&listener).listen(0);
            if filling.is_empty() {
                let address = crate::list::socket(host.address);
                filling = (0..FILL).map(|_| spawn_local(hold(address))).collect();
            }
            sleep(Duration::from_millis(10)).await;
            continue;
        }
        if !filling.is_empty() {
            filling.drain(..).for_each(|task| task.abort());
            let _ = SockRef::from(&listener).listen(BACKLOG);
        }
        let accepted = tokio::time::timeout(Duration::from_millis(20), listener.accept()).await;
        let Ok(Ok((stream, _))) = accepted else { continue };
        let connected = host.server.borrow_mut().connect();
        if connected {
            side.records.borrow_mut().connections += 1;
            spawn_local(serve(side.clone(), host.clone(), stream));
        }
    }
}

/// Holds a connection that is never accepted.
async fn hold(address: std::net::SocketAddrV4) {
    if let Ok(_stream) = TcpStream::connect(address).await {
        std::future::pending::<()>().await;
    }
}

async fn serve(side: Rc<Side>, host: Rc<Host>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut starts = host.starts.subscribe();
    let busy = Rc::new(Cell::new(0u32));
    let moved = Rc::new(Notify::new());
    let new = Rc::new(Cell::new(true));
    let service = {
        let (side, host, busy, moved) = (side.clone(), host.clone(), busy.clone(), moved.clone());
        service_fn(move |http_request: Request<Incoming>| {
            let (side, host, busy, moved) = (side.clone(), host.clone(), busy.clone(), moved.clone());
            let first = new.replace(false);
            async move {
                busy.set(busy.get() + 1);
                let answer = match http_request.uri().path() {
                    "/alive" | "/metrics/load" => side.probe(host).await,
                    _ => side.request(host, http_request, first).await,
                };
                busy.set(busy.get() - 1);
                moved.notify_one();
                Ok::<_, std::convert::Infallible>(answer)
            }
        })
    };
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    loop {
        let idle = host.active_troubles.idle(side.scenario.tiers[host.tier].server.idle_s);
        tokio::select! {
            _ = &mut connection => break,
            // The server was started again: connections of the old process are closed.
            _ = starts.changed() => break,
            () = moved.notified() => {}
            () = sleep(Duration::from_secs_f64(idle / 1000.0)), if busy.get() == 0 => {
                if busy.get() == 0 {
                    break;
                }
            }
        }
    }
    host.server.borrow_mut().disconnect();
}
