//! HTTP client of a node, used by clients and by servers that call the next tier. It pools connections, sends
//! one request at a time on each, and opens more when all are busy.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::net::SocketAddrV4;

use crate::record::Answer;
use crate::scenario::{Effect, Scenario};
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// Contents of a request on the wire, apart from its id and deadline.
#[derive(Debug, Clone)]
pub struct RequestData {
    pub profile: usize,
    pub customer: usize,
    pub key: u64,
    /// Work over all tiers, and the number of requests of this tier per ask; for the emulator only, passed in
    /// the request target.
    pub work: f64,
    pub fan: f64,
    pub root: u64,
}

/// Result of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reply {
    Answer {
        answer: Answer,
        body: u64,
        wait: f64,
    },
    /// The connection was refused.
    Refused,
    /// The connection ended without a complete answer.
    Cut,
}

pub struct Client {
    scenario: Rc<Scenario>,
    address: SocketAddrV4,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
}

impl Client {
    pub fn new(scenario: Rc<Scenario>, address: SocketAddrV4) -> Rc<Self> {
        Rc::new(Self { scenario, address, idle: RefCell::default() })
    }

    /// Sends a request whose client waits `left` ms; `accepted` is called once a connection is established.
    pub async fn ask(&self, trace: u64, asked: &RequestData, left: f64, accepted: impl Fn()) -> Reply {
        loop {
            let kept = self.kept();
            let reused = kept.is_some();
            let sender = match kept {
                Some(sender) => Some(sender),
                None => self.connect().await,
            };
            let Some(mut sender) = sender else { return Reply::Refused };
            accepted();
            match self.send(&mut sender, trace, asked, left).await {
                Some(heard) => {
                    self.idle.borrow_mut().push(sender);
                    return heard;
                }
                // The node closed a reused connection just as the request was written: sent once more on a new
                // one.
                None if reused => self.idle.borrow_mut().clear(),
                None => return Reply::Cut,
            }
        }
    }

    fn kept(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        while let Some(sender) = idle.pop() {
            if !sender.is_closed() && sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self) -> Option<SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        // The end of the connection shows at the sender.
        spawn_local(async move { drop(connection.await) });
        Some(sender)
    }

    async fn send(
        &self,
        sender: &mut SendRequest<Full<Bytes>>,
        trace: u64,
        asked: &RequestData,
        left: f64,
    ) -> Option<Reply> {
        let http_request = self.encode(trace, asked, left);
        let answer = sender.send_request(http_request).await.ok()?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let number = |text: &[u8]| std::str::from_utf8(text).ok().and_then(|text| text.trim().parse().ok());
        let wait = head.headers.get("retry-after").and_then(|value| value.to_str().ok());
        let wait = wait.and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0) * 1000.0;
        let answer = match head.status {
            StatusCode::OK => Answer::Served,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Answer::Rejected,
            _ => Answer::Failed,
        };
        Some(Reply::Answer { answer, body: number(&body).unwrap_or(0), wait })
    }

    fn encode(&self, trace: u64, asked: &RequestData, left: f64) -> Request<Full<Bytes>> {
        let profile = &self.scenario.profiles[asked.profile];
        let (work, fan, root) = (asked.work, asked.fan, asked.root);
        let target = format!("/{}/it?w={work}&f={fan}&r={root}&c={}", profile.name, asked.customer);
        let method = if profile.effect == Effect::Idempotent { "GET" } else { "POST" };
        let mut http_request = Request::builder()
            .method(method)
            .uri(target)
            .header("Host", "origin.svc")
            .header("X-Trace-Id", trace.to_string())
            .header("X-Customer", &self.scenario.customers[asked.customer].name)
            .header("X-Expires-In", format!("{:.4}", left.max(0.0) / 1000.0));
        if profile.effect == Effect::Keyed {
            http_request = http_request.header("Idempotency-Key", asked.key.to_string());
        }
        let body = if method == "GET" { Bytes::new() } else { Bytes::from_static(b"{}") };
        http_request.body(Full::new(body)).expect("names were checked with the file")
    }

    /// Closes the idle connections, as at the end of a process.
    pub fn end(&self) {
        self.idle.borrow_mut().clear();
    }
}
