//! The operators' listener: one call per connection, answered however busy the node is. It has its own
//! address, descriptors and time limits, and waits for nothing that clients hold.

use crate::lifecycle::{Lifecycle, State};
use crate::logger::{InfoLimiter, WarnLimiter};
use crate::message::{self, AdminCall, Body};
use crate::tracked_stream::{HyperIo, TrackedStream};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use pearfront_cluster::Cluster;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Most calls open at once; one more closes the oldest.
const MAX_CALLS: usize = 12;
/// Descriptors reserved for operators: the calls, the listener, and one call above the limit.
pub const RESERVED_DESCRIPTORS: usize = MAX_CALLS + 2;
/// Time limit for a call and its answer; clients of this listener wait for 1 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the drain permit may take to arrive.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest head and largest body of a call, bytes.
const MAX_MESSAGE_BYTES: usize = 8 * 1024;
/// How long calls that arrived together may run before one of them is closed for another.
const EVICTION_DELAY: Duration = Duration::from_millis(20);
/// Most lines about calls that are logged per second.
const LOGGED_CALLS_PER_S: u32 = 10;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Accepts and answers operators' calls.
pub struct AdminServer {
    lifecycle: Rc<Lifecycle>,
    /// The cluster, if the node is part of one.
    cluster: Option<Rc<Cluster>>,
    open_calls: RefCell<VecDeque<(u64, AbortHandle)>>,
    next_number: Cell<u64>,
    accept_log: WarnLimiter,
    call_log: InfoLimiter,
}

impl AdminServer {
    pub fn new(lifecycle: Rc<Lifecycle>, cluster: Option<Rc<Cluster>>) -> Rc<Self> {
        Rc::new(Self {
            lifecycle,
            cluster,
            open_calls: RefCell::default(),
            next_number: Cell::new(0),
            accept_log: WarnLimiter::default(),
            call_log: InfoLimiter::new(LOGGED_CALLS_PER_S),
        })
    }

    /// Answers operators as long as the process runs.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if self.open_calls.borrow().len() >= MAX_CALLS {
                        sleep(EVICTION_DELAY).await;
                    }
                    self.start_call(stream);
                }
                Err(error) => {
                    self.accept_log.warn(format_args!("accepting an operator's connection failed: {error}"));
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn start_call(self: &Rc<Self>, stream: TcpStream) {
        let (number, admin) = (self.next_number.get(), self.clone());
        self.next_number.set(number + 1);
        let call = spawn_local(async move {
            let _ = timeout(CALL_TIMEOUT, admin.serve_call(stream)).await;
            admin.open_calls.borrow_mut().retain(|(other, _)| *other != number);
        });
        let mut open = self.open_calls.borrow_mut();
        // Clients that finish no call must not keep others out.
        if open.len() >= MAX_CALLS
            && let Some((_, oldest)) = open.pop_front()
        {
            oldest.abort();
        }
        open.push_back((number, call.abort_handle()));
    }

    async fn serve_call(&self, stream: TcpStream) {
        let service = service_fn(async |request| Ok::<_, Infallible>(self.answer(request).await));
        let socket = HyperIo(TrackedStream::from_operator(stream));
        let mut server = Builder::new();
        server.keep_alive(false).half_close(true).max_buf_size(MAX_MESSAGE_BYTES);
        // How it ended matters only to the client.
        let _ = server.serve_connection(socket, service).await;
    }

    /// Gets the drain permit, where one is needed. If the permit is lost later, the node resumes, since
    /// another node is then allowed to drain.
    async fn acquire_permit(&self, force: bool) -> Result<(), String> {
        let Some(cluster) = self.cluster.clone().filter(|cluster| cluster.needs_permit()) else {
            return Ok(());
        };
        if force {
            log::warn!("draining without a permit: forced by the operator");
            return Ok(());
        }
        cluster.take_permit(PERMIT_TIMEOUT).await?;
        let lifecycle = self.lifecycle.clone();
        spawn_local(async move {
            cluster.permit_lost().await;
            if lifecycle.state() == State::LameDuck {
                lifecycle.resume();
                log::warn!("resumed serving: the drain permit was lost");
            }
            cluster.give_up_permit();
        });
        Ok(())
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let (method, path) = (head.method.clone(), head.uri.path().to_string());
        let answer = self.execute(head, body).await;
        if method != Method::GET {
            self.call_log.info(|| format!("operator's call {method} {path}: {}", answer.status().as_u16()));
        }
        answer
    }

    async fn execute(&self, head: Parts, body: Incoming) -> Response<Body> {
        if http_body_util::Limited::new(body, MAX_MESSAGE_BYTES).collect().await.is_err() {
            return message::encode_malformed("a body that is too long or can't be read");
        }
        let succeeded = match message::decode_admin(&head) {
            AdminCall::Unknown => return message::encode_unknown_call(None),
            AdminCall::WrongMethod(method) => return message::encode_unknown_call(Some(method)),
            AdminCall::Members => {
                let cluster = self.cluster.as_ref();
                return cluster.map_or_else(
                    || message::encode_unknown_call(None),
                    |cluster| message::encode_json(&cluster.view()),
                );
            }
            call @ (AdminCall::Duties
            | AdminCall::HoldDuty(_)
            | AdminCall::ReleaseDuty { .. }
            | AdminCall::MoveDuty { .. }) => {
                let cluster = self.cluster.clone().filter(|cluster| cluster.has_duties());
                return match cluster {
                    None => message::encode_unknown_call(None),
                    Some(cluster) => execute_duty_call(&cluster, call).await,
                };
            }
            AdminCall::Ready => self.lifecycle.is_ready(),
            AdminCall::Drain { force } => {
                if let Err(problem) = self.acquire_permit(force).await {
                    return message::encode_conflict(&problem);
                }
                self.lifecycle.drain();
                true
            }
            AdminCall::Resume => {
                let resumed = self.lifecycle.resume();
                if let Some(cluster) = self.cluster.as_ref().filter(|_| resumed) {
                    cluster.give_up_permit();
                }
                resumed
            }
        };
        message::encode_admin(succeeded, &self.lifecycle.state().to_string())
    }
}

async fn execute_duty_call(cluster: &Rc<Cluster>, call: AdminCall) -> Response<Body> {
    match call {
        AdminCall::HoldDuty(hold) => match cluster.hold(&hold).await {
            Ok(view) => message::encode_json(&view),
            Err(problem) => message::encode_conflict(&problem),
        },
        AdminCall::ReleaseDuty { duty, client, was_successful } => {
            if cluster.give_up(&duty, &client, was_successful) {
                message::encode_json(&"given up")
            } else {
                message::encode_conflict("that command does not want it")
            }
        }
        AdminCall::MoveDuty { duty, to } => match cluster.move_duty(&duty, to.as_deref()).await {
            Ok(answer) => message::encode_json(&answer),
            Err(problem) => message::encode_conflict(&problem),
        },
        _ => message::encode_json(&cluster.duties().await),
    }
}
