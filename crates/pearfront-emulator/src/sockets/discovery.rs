//! Discovery on sockets: a versioned list for each tier, long polling, and an address of its own for each node,
//! so that the records show which node received what.

use super::fleet::Side;
use super::servers::{Host, answer};
use crate::list::Line;
use crate::record::ListUpdate;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use pearfront::interface::ServerState;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout_at};

/// The node that a discovery address belongs to.
#[derive(Clone)]
pub enum Asker {
    NodeHost(usize),
    Sidecar(Rc<Host>),
}

pub struct Directory {
    /// Last line of each id and the version that introduced it; lines of servers that are gone are kept, to be
    /// reported.
    lines: RefCell<BTreeMap<String, (u64, Line)>>,
    version: Cell<u64>,
    changes: Notify,
    busy_until: Cell<f64>,
    down: Cell<u32>,
    old: Cell<u32>,
    held_back: RefCell<Vec<Line>>,
}

impl Default for Directory {
    fn default() -> Self {
        Self {
            lines: RefCell::default(),
            version: Cell::new(1),
            changes: Notify::new(),
            busy_until: Cell::new(f64::NEG_INFINITY),
            down: Cell::new(0),
            old: Cell::new(0),
            held_back: RefCell::default(),
        }
    }
}

impl Directory {
    /// Whether the server is part of the first list.
    pub fn put(&self, line: &Line) {
        self.lines.borrow_mut().insert(line.id.clone(), (self.version.get(), line.clone()));
    }

    /// The published list of a tier.
    pub fn lines(&self, tier: usize) -> Vec<Line> {
        let lines = self.lines.borrow();
        let fits = |line: &&Line| line.tier == tier && line.standing != ServerState::Gone;
        lines.values().map(|(_, line)| line).filter(fits).cloned().collect()
    }

    pub fn publish(&self, line: Line) {
        if self.old.get() > 0 {
            return self.held_back.borrow_mut().push(line);
        }
        let mut lines = self.lines.borrow_mut();
        // A line of an earlier life may arrive after one of a later life.
        if lines.get(&line.id).is_some_and(|(_, known)| known.life > line.life) {
            return;
        }
        self.version.set(self.version.get() + 1);
        lines.insert(line.id.clone(), (self.version.get(), line));
        drop(lines);
        self.changes.notify_waiters();
    }

    pub fn become_stale(&self, old: bool) {
        self.old.set(if old { self.old.get() + 1 } else { self.old.get() - 1 });
        if self.old.get() == 0 {
            self.held_back.take().into_iter().for_each(|line| self.publish(line));
        }
    }

    pub fn go_down(&self, down: bool) {
        self.down.set(if down { self.down.get() + 1 } else { self.down.get() - 1 });
        self.changes.notify_waiters();
    }

    fn newer(&self, tier: usize, than: u64) -> Vec<Line> {
        let lines = self.lines.borrow();
        let fits = |entry: &&(u64, Line)| entry.0 > than && entry.1.tier == tier;
        lines.values().filter(fits).map(|(_, line)| line.clone()).collect()
    }
}

impl Side {
    pub fn serve_directory(
        self: &Rc<Self>,
        at: SocketAddrV4,
        tier: usize,
        asker: Asker,
    ) -> Result<(), String> {
        let bound = std::net::TcpListener::bind(at).and_then(|listener| {
            listener.set_nonblocking(true)?;
            TcpListener::from_std(listener)
        });
        let listener = bound.map_err(|error| format!("{at}: {error}"))?;
        let side = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (side, asker) = (side.clone(), asker.clone());
                let service = service_fn(move |http_request| {
                    let (side, asker) = (side.clone(), asker.clone());
                    async move { Ok::<_, Infallible>(side.tell(tier, &asker, &http_request).await) }
                });
                spawn_local(async move {
                    // A connection may end in any way; the next call detects it.
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(())
    }

    async fn tell(&self, tier: usize, asker: &Asker, call: &Request<Incoming>) -> Response<Full<Bytes>> {
        let directory = &self.directory;
        let failed = || answer(StatusCode::SERVICE_UNAVAILABLE, "not now");
        if directory.down.get() > 0 || !self.wait_for_turn(tier).await {
            return failed();
        }
        let query = call.uri().query().unwrap_or("");
        let figure = |key: &str| -> Option<u64> {
            query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('=')?.parse().ok())
        };
        let Some(from) = figure("from") else {
            return self.write(asker, true, directory.version.get(), directory.lines(tier));
        };
        let hold = Duration::from_millis(figure("hold_ms").unwrap_or(0).min(60_000));
        let until = Instant::now() + hold;
        loop {
            let changes = directory.changes.notified();
            let lines = directory.newer(tier, from);
            if directory.down.get() > 0 {
                return failed();
            }
            if !lines.is_empty() {
                return self.write(asker, false, directory.version.get(), lines);
            }
            if timeout_at(until, changes).await.is_err() {
                return self.write(asker, false, from.max(directory.version.get()), Vec::new());
            }
        }
    }

    /// Calls are processed sequentially; false if this one would time out.
    async fn wait_for_turn(&self, tier: usize) -> bool {
        let discovery = &self.scenario.discovery;
        let now = self.clock.get().now();
        let begins = now.max(self.directory.busy_until.get());
        if begins - now > discovery.timeout_ms {
            return false;
        }
        let lines = self.directory.lines(tier).len() as f64 + discovery.call_lines;
        let ends = begins + lines / discovery.lines_per_s * 1000.0;
        self.directory.busy_until.set(ends);
        sleep_until(self.clock.get().at(ends)).await;
        true
    }

    fn write(&self, asker: &Asker, whole: bool, version: u64, lines: Vec<Line>) -> Response<Full<Bytes>> {
        let clock = self.clock.get();
        let at = clock.now();
        if whole {
            // Servers that are missing from a whole list count as gone for this node.
            let all = self.directory.lines.borrow();
            for (_, line) in all.values().filter(|(_, line)| line.standing == ServerState::Gone) {
                self.record_update(asker, line, at);
            }
        }
        lines.iter().for_each(|line| self.record_update(asker, line, at));
        let instances: Vec<_> = lines.iter().map(|line| line.json(&self.scenario, clock.began)).collect();
        let body = json!({"generation": version, "reset": whole, "instances": instances});
        answer(StatusCode::OK, body.to_string())
    }

    fn record_update(&self, asker: &Asker, line: &Line, at: f64) {
        let update = |node| ListUpdate { node, server: line.life, standing: line.standing, at };
        match asker {
            Asker::NodeHost(number) => self.node_host_updates.borrow_mut().push((*number, update(0))),
            Asker::Sidecar(host) => self.records.borrow_mut().list_updates.push(update(host.node_life.get())),
        }
    }
}
