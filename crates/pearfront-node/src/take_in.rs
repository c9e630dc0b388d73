//! First stage: callers' connections and what comes on them. A job is taken once its last byte is here; from then
//! on it is owed one answer.

use crate::admit::{Caller, MOST_BODY, Place, Room};
use crate::book::Book;
use crate::lifecycle::Lifecycle;
use crate::logger::Seldom;
use crate::message::{self, Answer, Body, Call, Job};
use crate::route::{Held, Route};
use crate::send::{BUFFER, Senders};
use crate::terms::InForce;
use crate::wire::{Socket, Wire};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};

/// Pause after a failed accept: what it lacked is back soon, and the loop must not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// How long new connections go on coming after SIGTERM, with some room: the protocol says 400 ms.
const STILL_COMING: Duration = Duration::from_millis(500);
/// Time, ms, before the module's last answers in which callers are closed: nearly all jobs are answered within it.
const LAST_SERVED: f64 = 1000.0;
/// A caller that is to be closed, and has begun a head or not taken its answer, is cut off once nothing has moved
/// on its connection for so long.
const STUCK: Duration = Duration::from_millis(200);
/// How long a body is waited for: with the head it is owed an error or a close within 3 s of connecting.
const WHOLE_BODY: Duration = Duration::from_millis(2500);

pub struct TakeIn {
    pub route: Rc<Route>,
    pub room: Rc<Room>,
    senders: Rc<Senders>,
    terms: Rc<InForce>,
    book: Rc<Book>,
    life: Rc<Lifecycle>,
    malformed: Seldom,
    crowded: Seldom,
    accepting: Seldom,
}

impl TakeIn {
    pub fn new(
        route: Rc<Route>,
        room: Rc<Room>,
        senders: Rc<Senders>,
        terms: Rc<InForce>,
        book: Rc<Book>,
        life: Rc<Lifecycle>,
    ) -> Rc<Self> {
        Rc::new(Self {
            route,
            room,
            senders,
            terms,
            book,
            life,
            malformed: Seldom::default(),
            crowded: Seldom::default(),
            accepting: Seldom::default(),
        })
    }

    /// Accepts callers until told to end; then until no more come, and serves those that stay almost as long as the
    /// node runs: they may have nowhere else to go. `end` tells when the module will give its last answers.
    pub async fn accept(self: &Rc<Self>, listener: TcpListener, end: impl Future<Output = f64>) {
        let answered = tokio::select! {
            never = self.accept_all(&listener) => never,
            answered = end => answered,
        };
        let _ = timeout(STILL_COMING, self.accept_all(&listener)).await;
        let callers_end = async {
            while self.room.has_callers() {
                sleep(ACCEPT_PAUSE).await;
            }
        };
        tokio::select! {
            never = self.accept_all(&listener) => never,
            () = sleep_until(self.route.clock.at(answered - LAST_SERVED)) => {}
            () = callers_end => {}
        }
        // What the kernel has accepted counts as ours, unless another process serves the same socket.
        while self.life.accepts()
            && let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await
        {
            self.open(stream);
        }
    }

    async fn accept_all(self: &Rc<Self>, listener: &TcpListener) -> ! {
        loop {
            while self.room.is_waited_for() || !self.senders.make_place() {
                self.room.freed().await;
            }
            let accepted = tokio::select! {
                biased;
                () = self.life.changed() => continue,
                accepted = listener.accept(), if self.life.accepts() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.open(stream),
                Err(error) => {
                    self.book.accept_failed.add();
                    self.accepting.warn(format_args!("accept failed: {error}"));
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn open(self: &Rc<Self>, stream: TcpStream) {
        self.book.callers.add();
        spawn_local(self.clone().serve(stream, self.room.place()));
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, place: Place) {
        let wire = Wire::new(stream, place);
        let (number, caller) = self.room.enter(wire.clone());
        let service = service_fn(|request| self.answer(&caller, request));
        let mut connection =
            pin!(Builder::new().max_buf_size(BUFFER).serve_connection(Socket(wire.clone()), service));
        let mut closing = None;
        loop {
            tokio::select! {
                ended = connection.as_mut() => {
                    // A caller that breaks off shows on its job, if it had one.
                    if let Err(error) = ended && error.is_parse() {
                        self.reject(&error.to_string());
                        caller.answer_early();
                    }
                    if caller.is_answered_early() {
                        wire.linger().await;
                    }
                    break;
                }
                () = caller.told.notified(), if closing.is_none() => {
                    closing = Some((wire.moved(), false));
                    connection.as_mut().graceful_shutdown();
                }
                () = sleep(STUCK), if closing.is_some() => {
                    // A head that goes on and on moves nothing forward either.
                    let stuck = |(moved, in_head)| moved == wire.moved() || in_head && wire.in_head();
                    if caller.is_idle() && closing.is_some_and(stuck) {
                        break;
                    }
                    closing = Some((wire.moved(), wire.in_head()));
                }
            }
        }
        self.room.leave(number);
    }

    async fn answer(&self, caller: &Caller, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        caller.begin();
        let chunked = message::is_chunked(request.headers());
        let length = request.body().size_hint().exact();
        let answer = self.call(caller, request).await;
        caller.end(length.map(|length| length as usize));
        // Behind chunks nobody here can tell the next head's bytes from the body's.
        if chunked || !self.life.keeps_alive() { answer.map(message::last_on_connection) } else { answer }
    }

    async fn call(&self, caller: &Caller, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let came = self.route.clock.now();
        let (head, body) = request.into_parts();
        let lengths = caller.wire.may_have_length();
        let call = message::decode_call(head, &self.terms.now(), lengths);
        let problem = match call {
            Ok(Call::Up) => return Ok(message::encode_up(self.life.is_ready())),
            Ok(Call::Job(job)) => match self.job(*job, body, came).await? {
                Ok(answer) => return Ok(answer),
                Err(problem) => problem,
            },
            Err(problem) => match read(body, false).await? {
                Ok(_) => return Ok(self.reject(&problem)),
                Err(_) => problem,
            },
        };
        // Its body goes on: nothing that comes on the connection from now on is a job.
        caller.answer_early();
        Ok(message::last_on_connection(self.reject(&problem)))
    }

    fn reject(&self, problem: &str) -> Response<Body> {
        self.book.malformed.add();
        self.malformed.warn(format_args!("malformed job: {problem}"));
        message::encode_malformed(problem)
    }

    /// The answer to a job, or what is wrong with its body.
    async fn job(
        &self,
        mut job: Job,
        body: Incoming,
        came: f64,
    ) -> Result<Result<Response<Body>, String>, Cut> {
        let length = body.size_hint().upper().map_or(MOST_BODY, |most| MOST_BODY.min(most as usize));
        let share = self.room.job(length);
        job.body = match read(body, share.is_some()).await? {
            Ok(whole) => whole,
            Err(problem) => return Ok(Err(problem)),
        };
        let Some(share) = share else {
            self.book.no_room.add();
            self.crowded.warn("no room for a job, pushed back");
            return Ok(Ok(Answer::PushedBack(0.0).encode()));
        };
        let limit = came + job.left;
        if limit <= self.route.clock.now() {
            self.book.too_late.add();
            return Ok(Ok(Answer::PushedBack(0.0).encode()));
        }
        if self.route.has_open(&job) {
            return Ok(Ok(self.reject("another job with its id is open")));
        }
        let (held, answer) = self.route.take(job, share, limit);
        let held = Guard { route: &self.route, held };
        let answer = answer.await.unwrap_or(Answer::Forfeited);
        drop(held);
        Ok(Ok(answer.encode()))
    }

    /// Closes idle callers whenever clients are let go, as long as the node runs.
    pub async fn let_go(self: Rc<Self>) {
        loop {
            if let Some(pause) = self.life.spares_for() {
                self.room.close_all_idle(pause);
            }
            sleep(ACCEPT_PAUSE).await;
        }
    }

    /// Closes idle callers and waits until the last has its answer.
    pub async fn finish(&self) {
        while self.room.has_callers() {
            self.room.close_all_idle(Duration::ZERO);
            sleep(ACCEPT_PAUSE).await;
        }
    }
}

/// Tells the module that the caller left, if it goes before the answer.
struct Guard<'a> {
    route: &'a Route,
    held: Rc<Held>,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.route.left(&self.held);
    }
}

/// The caller broke off, or its body did not come in time: the connection ends without an answer.
#[derive(Debug)]
struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("the body did not come whole")
    }
}

impl std::error::Error for Cut {}

/// Reads a body to its end, also one that is not kept, so that the answer is not lost in a reset; or tells why it
/// is not waited for.
async fn read(mut body: Incoming, keep: bool) -> Result<Result<Bytes, String>, Cut> {
    let too_long = || Ok(Err(format!("a body of more than {MOST_BODY} bytes")));
    let least = body.size_hint().lower();
    if least > MOST_BODY as u64 {
        return too_long();
    }
    let all = async {
        let mut whole = Vec::with_capacity(if keep { least as usize } else { 0 });
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.map_err(|_| Cut)?.into_data() {
                length += data.len();
                if length > MOST_BODY {
                    return too_long();
                }
                if keep {
                    whole.extend_from_slice(&data);
                }
            }
        }
        Ok(Ok(whole.into()))
    };
    timeout(WHOLE_BODY, all).await.unwrap_or_else(|_| Ok(Err("its body does not come".into())))
}
