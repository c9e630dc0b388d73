//! The operators' listener: one call to a connection, answered however busy the node is. It has its own address,
//! descriptors and time limits, and waits for nothing that clients hold.

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

/// Calls open at once; one more has the oldest closed.
const CALLS: usize = 12;
/// Descriptors that no client, server or probe may have: the calls, the listener, and the call that comes on top.
pub const RESERVED_DESCRIPTORS: usize = CALLS + 2;
/// How long a call may take to come and be answered: callers wait for 1 s.
const WHOLE_CALL: Duration = Duration::from_secs(2);
/// How long the permit to drain may take to come.
const PERMIT: Duration = Duration::from_millis(700);
/// Largest head, and largest body, that a call may have, bytes.
const LARGEST: usize = 8 * 1024;
/// How long all that came at once have to be played before one of them is closed for another.
const PLAYED: Duration = Duration::from_millis(20);
/// Lines a second of the log that tell of calls.
const LOGGED_CALLS: u32 = 10;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

pub struct Admin {
    lifecycle: Rc<Lifecycle>,
    /// The other processes, where there may be any.
    cluster: Option<Rc<Cluster>>,
    open: RefCell<VecDeque<(u64, AbortHandle)>>,
    numbered: Cell<u64>,
    failing: WarnLimiter,
    calls: InfoLimiter,
}

impl Admin {
    pub fn new(lifecycle: Rc<Lifecycle>, cluster: Option<Rc<Cluster>>) -> Rc<Self> {
        Rc::new(Self {
            lifecycle,
            cluster,
            open: RefCell::default(),
            numbered: Cell::new(0),
            failing: WarnLimiter::default(),
            calls: InfoLimiter::new(LOGGED_CALLS),
        })
    }

    /// Answers operators as long as the process runs.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if self.open.borrow().len() >= CALLS {
                        sleep(PLAYED).await;
                    }
                    self.open(stream);
                }
                Err(error) => {
                    self.failing.warn(format_args!("accepting an operator's call failed: {error}"));
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn open(self: &Rc<Self>, stream: TcpStream) {
        let (number, admin) = (self.numbered.get(), self.clone());
        self.numbered.set(number + 1);
        let call = spawn_local(async move {
            let _ = timeout(WHOLE_CALL, admin.call(stream)).await;
            admin.open.borrow_mut().retain(|(other, _)| *other != number);
        });
        let mut open = self.open.borrow_mut();
        // Callers that finish no call must not keep others out.
        if open.len() >= CALLS
            && let Some((_, oldest)) = open.pop_front()
        {
            oldest.abort();
        }
        open.push_back((number, call.abort_handle()));
    }

    async fn call(&self, stream: TcpStream) {
        let service = service_fn(async |request| Ok::<_, Infallible>(self.answer(request).await));
        let socket = HyperIo(TrackedStream::from_operator(stream));
        let mut server = Builder::new();
        server.keep_alive(false).half_close(true).max_buf_size(LARGEST);
        // How it ended only its caller can care about.
        let _ = server.serve_connection(socket, service).await;
    }

    /// The permit to drain, where one is needed. Without it, once it is lost, the node takes jobs again: another is to go.
    async fn permit(&self, force: bool) -> Result<(), String> {
        let Some(cluster) = self.cluster.clone().filter(|cluster| cluster.needs_permit()) else {
            return Ok(());
        };
        if force {
            log::warn!("drains without a permit: told to by force");
            return Ok(());
        }
        cluster.take_permit(PERMIT).await?;
        let lifecycle = self.lifecycle.clone();
        spawn_local(async move {
            cluster.permit_lost().await;
            if lifecycle.state() == State::LameDuck {
                lifecycle.resume();
                log::warn!("takes jobs again: the permit to drain is held no more");
            }
            cluster.give_up_permit();
        });
        Ok(())
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let (method, path) = (head.method.clone(), head.uri.path().to_string());
        let answer = self.carry_out(head, body).await;
        if method != Method::GET {
            self.calls.info(|| format!("operator's call {method} {path}: {}", answer.status().as_u16()));
        }
        answer
    }

    async fn carry_out(&self, head: Parts, body: Incoming) -> Response<Body> {
        if http_body_util::Limited::new(body, LARGEST).collect().await.is_err() {
            return message::encode_malformed("a body that is too long or can't be read");
        }
        let yes = match message::decode_admin(&head) {
            AdminCall::Unknown => return message::encode_no_call(None),
            AdminCall::Only(method) => return message::encode_no_call(Some(method)),
            AdminCall::Members => {
                let cluster = self.cluster.as_ref();
                return cluster
                    .map_or_else(|| message::encode_no_call(None), |one| message::encode_view(&one.view()));
            }
            call @ (AdminCall::Duties
            | AdminCall::Hold(_)
            | AdminCall::GiveUp { .. }
            | AdminCall::Move { .. }) => {
                let cluster = self.cluster.clone().filter(|cluster| cluster.has_duties());
                return match cluster {
                    None => message::encode_no_call(None),
                    Some(cluster) => duties(&cluster, call).await,
                };
            }
            AdminCall::Ready => self.lifecycle.is_ready(),
            AdminCall::Drain { force } => {
                if let Err(problem) = self.permit(force).await {
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
        message::encode_admin(yes, &self.lifecycle.state().to_string())
    }
}

async fn duties(cluster: &Rc<Cluster>, call: AdminCall) -> Response<Body> {
    match call {
        AdminCall::Hold(hold) => match cluster.hold(&hold).await {
            Ok(view) => message::encode_view(&view),
            Err(problem) => message::encode_conflict(&problem),
        },
        AdminCall::GiveUp { duty, client, well } => {
            if cluster.give_up(&duty, &client, well) {
                message::encode_view(&"given up")
            } else {
                message::encode_conflict("that command does not want it")
            }
        }
        AdminCall::Move { duty, to } => match cluster.move_duty(&duty, to.as_deref()).await {
            Ok(told) => message::encode_view(&told),
            Err(problem) => message::encode_conflict(&problem),
        },
        _ => message::encode_view(&cluster.duties().await),
    }
}
