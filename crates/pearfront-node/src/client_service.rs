//! First stage: clients' connections and what comes on them. A job is taken once its last byte is here; from then
//! on it is owed one answer.

use crate::capacity::{Capacity, RequestReservation};
use crate::client_connection::ClientConnection;
use crate::counters::Counters;
use crate::deadline::Deadline;
use crate::dispatcher::{Dispatcher, OpenRequest};
use crate::late_answers::{AnswerTiming, LateAnswers};
use crate::lifecycle::Lifecycle;
use crate::logger::{Limited, Seldom};
use crate::message::{self, Answer, Body, ClientCall, ClientRequest, RequestBody};
use crate::send::{BUFFER, Senders};
use crate::streaming::{BodyError, BodyStart, MAX_BUFFERED_BYTES};
use crate::terms::InForce;
use crate::tracked_stream::{HyperIo, TrackedStream};
use crate::upload::{self, Upload};
use http_body_util::Either;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1::{Builder, Connection};
use hyper::service::service_fn;
use hyper::{Request, Response};
use std::cell::RefCell;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot::Receiver;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// How often is looked whether clients are to be let go, or have gone.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time, ms, before the module's last answers in which callers are closed: nearly all jobs are answered within it.
pub const CLOSING_PERIOD_MS: f64 = 1000.0;
/// A caller that is to be closed, and has begun a head or not taken its answer, is cut off once nothing has moved
/// on its connection for so long.
const NO_PROGRESS: Duration = Duration::from_millis(200);
/// Lines a second of the log that tell of answers that were broken off.
const LOG_LINES_PER_SECOND: u32 = 10;

/// How a client's connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionOutcome {
    /// Its client ended it, or its last answer said that it ends, or what came can't be read.
    InTurn,
    /// Nothing of an answer that is on its way moves any more.
    Stalled,
    /// It was to be closed, and nothing more came of what was begun on it.
    LetGo,
    /// Its client left in the middle of an answer.
    ClientLeft,
    /// An answer was broken off, as another is due that could come only behind it.
    BrokenOff,
}

pub struct ClientService {
    pub dispatcher: Rc<Dispatcher>,
    pub capacity: Rc<Capacity>,
    senders: Rc<Senders>,
    terms: Rc<InForce>,
    pub counters: Rc<Counters>,
    pub lifecycle: Rc<Lifecycle>,
    late_answers: LateAnswers,
    malformed_log: Seldom,
    no_capacity_log: Seldom,
    broken_off_log: Limited,
}

impl ClientService {
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        capacity: Rc<Capacity>,
        senders: Rc<Senders>,
        terms: Rc<InForce>,
        counters: Rc<Counters>,
        lifecycle: Rc<Lifecycle>,
    ) -> Rc<Self> {
        Rc::new(Self {
            dispatcher,
            capacity,
            senders,
            terms,
            late_answers: LateAnswers::new(counters.clone()),
            counters,
            lifecycle,
            malformed_log: Seldom::default(),
            no_capacity_log: Seldom::default(),
            broken_off_log: Limited::new(LOG_LINES_PER_SECOND),
        })
    }

    /// Serves a connection, on which nothing came before that time.
    pub fn serve(self: &Rc<Self>, stream: TcpStream, earliest: Instant) {
        self.counters.callers.add();
        let stream = TrackedStream::from_client(stream, self.capacity.take_client_slot(), earliest);
        spawn_local(self.clone().run_connection(stream));
    }

    /// Is there a place for one more connection? If need be idle ones are closed for it.
    pub fn make_slot(&self) -> bool {
        self.senders.make_caller_place()
    }

    async fn run_connection(self: Rc<Self>, stream: Rc<TrackedStream>) {
        let (number, client) = self.capacity.add_client(stream.clone());
        let service = service_fn(|request: Request<Incoming>| {
            client.begin_request(request.version());
            self.answer(&client, request)
        });
        let mut connection =
            pin!(Builder::new().max_buf_size(BUFFER).serve_connection(HyperIo(stream.clone()), service));
        let mut closing = None;
        // Right before the end of the sending: whoever chose this connection to be closed looked earlier, and many were
        // chosen at once. What has come since is a request, and is answered first.
        let end = |connection: Pin<&mut Connection<_, _>>| {
            let has_partial_head = client.is_idle() && stream.waiting_requests() == 0 && !stream.has_unread();
            if !stream.has_further_request() || has_partial_head {
                stream.stop_reading();
                connection.graceful_shutdown();
            }
        };
        let outcome = loop {
            tokio::select! {
                biased;
                ended = connection.as_mut() => {
                    let is_whole = ended.is_ok();
                    // A caller that breaks off shows on its job, if it had one.
                    if let Err(error) = ended {
                        if error.is_parse() {
                            self.refuse_malformed(&error.to_string());
                            client.mark_answered_early();
                        } else if client.answer_ends_with_connection() {
                            stream.reset_on_close();
                        }
                    }
                    if client.is_answered_early() {
                        stream.linger().await;
                    } else if is_whole {
                        stream.wait_for_receiver().await;
                    }
                    break ConnectionOutcome::InTurn;
                }
                never = stream.watch_pipelined() => match never {},
                outcome = self.wait_for_early_end(&client) => break outcome,
                () = client.abort_requested.notified() => if client.confirm_abort() { break ConnectionOutcome::Stalled },
                () = client.close_requested.notified(), if closing.is_none() => {
                    closing = Some((stream.bytes_moved(), false));
                    end(connection.as_mut());
                }
                () = stream.wait_until_read_out(), if closing.is_none() => {
                    closing = Some((stream.bytes_moved(), false));
                    end(connection.as_mut());
                }
                () = sleep(NO_PROGRESS), if closing.is_some() => {
                    // A head that goes on and on moves nothing forward either.
                    let is_quiet = |moved| moved == stream.bytes_moved() && !stream.has_unread();
                    let is_stuck = |(moved, in_head)| is_quiet(moved) || in_head && stream.in_head();
                    if client.is_idle() && closing.is_some_and(is_stuck) {
                        break ConnectionOutcome::LetGo;
                    }
                    closing = Some((stream.bytes_moved(), stream.in_head()));
                    end(connection.as_mut());
                }
            }
        };
        if outcome == ConnectionOutcome::BrokenOff {
            self.counters.flows_broken.add();
            self.broken_off_log.info(|| "answer broken off: the answer to a pipelined request is due".into());
        } else if outcome != ConnectionOutcome::Stalled {
            self.dispatcher.guard.close(&client, &format!("{outcome:?}"));
            if !stream.has_ended() {
                self.late_answers
                    .record_unanswered(client.unanswered(), &format!("their connection ended: {outcome:?}"));
            }
        }
        self.capacity.remove_client(number);
    }

    /// Waits until an answer that is on its way ends in its middle: its client has left, or one behind it is due, and answers
    /// come in order. What lies behind it is unread then, so that its client may send it again.
    async fn wait_for_early_end(&self, client: &ClientConnection) -> ConnectionOutcome {
        loop {
            if !client.is_streaming() {
                client.streaming_changed().await;
                continue;
            }
            tokio::select! {
                () = client.streaming_changed() => {}
                () = client.stream.wait_for_end() => return ConnectionOutcome::ClientLeft,
                () = self.dispatcher.pipelined_answer_is_due(&client.stream) => return ConnectionOutcome::BrokenOff,
            }
        }
    }

    async fn answer(
        &self,
        client: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, BodyError> {
        let mut answer = self.handle_call(client, request).await;
        match answer.as_mut().map(Response::body_mut) {
            Ok(Either::Right(streamed)) => {
                let connection = client.clone();
                streamed.on_break(move |_| connection.mark_answer_broken());
                streamed.keep_alive(Rc::new(client.start_streaming()));
            }
            _ => client.end_request(),
        }
        // Only the last of the requests that have come may say that it is.
        if self.lifecycle.keeps_alive() && !client.stream.is_ending() || client.stream.has_further_request() {
            return answer;
        }
        client.stream.stop_reading();
        answer.map(message::last_on_connection)
    }

    async fn handle_call(
        &self,
        client: &ClientConnection,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, BodyError> {
        let (head, body) = request.into_parts();
        let has_length = client.stream.next_request().has_length;
        let call = message::decode_client_call(head, &self.terms.now(), has_length);
        let problem = match call {
            Ok(ClientCall::Up) => return Ok(message::encode_up(self.lifecycle.is_ready())),
            Ok(ClientCall::Request(request)) => match self.answer_request(client, *request, body).await {
                Ok(answer) => return Ok(answer),
                Err(Problem::Gone) => return Err(BodyError::Cut),
                Err(Problem::Malformed(problem)) => problem,
            },
            Err(problem) => match upload::read_start(body, false).await {
                Ok(start) => {
                    drain_rest(start);
                    return Ok(self.refuse_malformed(&problem));
                }
                Err(BodyError::Cut) => return Err(BodyError::Cut),
                Err(_) => problem,
            },
        };
        // Its body goes on: nothing that comes on the connection from now on is a job.
        client.mark_answered_early();
        Ok(message::last_on_connection(self.refuse_malformed(&problem)))
    }

    fn refuse_malformed(&self, problem: &str) -> Response<Body> {
        self.counters.malformed.add();
        self.malformed_log.warn(format_args!("malformed request: {problem}"));
        message::encode_malformed(problem)
    }

    /// The answer to a job, or what is wrong with its body; counted if it is too late.
    async fn answer_request(
        &self,
        client: &ClientConnection,
        request: ClientRequest,
        body: Incoming,
    ) -> Result<Response<Body>, Problem> {
        let (id, time_ms, started_at) =
            (request.id().clone(), request.time_left, self.dispatcher.clock.now());
        let answer = self.forward(client, request, body).await?;
        if let Some(arrived) = client.stream.arrived_at() {
            let (status, answered_at) = (answer.status(), self.dispatcher.clock.now());
            let arrived_at = self.dispatcher.clock.time_of(arrived);
            self.late_answers.record_answer(&AnswerTiming {
                id,
                status,
                arrived_at,
                started_at,
                answered_at,
                time_ms,
            });
        }
        Ok(answer)
    }

    async fn forward(
        &self,
        client: &ClientConnection,
        mut request: ClientRequest,
        body: Incoming,
    ) -> Result<Response<Body>, Problem> {
        let length = body.size_hint().exact();
        let kept = length.map_or(MAX_BUFFERED_BYTES, |length| MAX_BUFFERED_BYTES.min(length as usize));
        let reservation = self.capacity.reserve_request(kept);
        let start = upload::read_start(body, reservation.is_some()).await?;
        let Some(reservation) = reservation else {
            self.counters.no_room.add();
            self.no_capacity_log.warn("no capacity for a request, rejected");
            return Ok(reject(start));
        };
        let deadline = self.dispatcher.deadline(request.time_left, &client.stream);
        if matches!(start, BodyStart::Complete(_)) {
            deadline.body_complete();
        }
        if deadline.is_too_late() {
            self.counters.too_late.add();
            return Ok(reject(start));
        }
        if self.dispatcher.has_open_request(&request) {
            drain_rest(start);
            return Ok(self.refuse_malformed("another job with its id is open"));
        }
        match start {
            BodyStart::Complete(body) => {
                request.body = RequestBody::Buffered(body);
                let (open, answer) = self.dispatcher.accept(&client.stream, request, deadline, reservation);
                let guard = ClientLeftGuard { dispatcher: &self.dispatcher, open };
                self.wait_for_answer(client, &guard.open, answer).await
            }
            BodyStart::Partial(first, rest) => {
                let (upload, source) = Upload::new(self.capacity.clone());
                request.body = RequestBody::Streamed { first, rest: RefCell::new(Some(source)), length };
                self.forward_streamed(client, request, deadline, reservation, rest, upload).await
            }
        }
    }

    /// The answer to a job whose body flows on to a server while it comes.
    async fn forward_streamed(
        &self,
        client: &ClientConnection,
        request: ClientRequest,
        deadline: Deadline,
        reservation: RequestReservation,
        body: Incoming,
        upload: Upload,
    ) -> Result<Response<Body>, Problem> {
        self.counters.flows_in.add();
        let (open, mut answer) = self.dispatcher.accept(&client.stream, request, deadline, reservation);
        let guard = ClientLeftGuard { dispatcher: &self.dispatcher, open };
        let mut passing = Box::pin(upload.pass_on(Rc::downgrade(&client.stream), body));
        let passed = tokio::select! {
            biased;
            answer = &mut answer => {
                // Answered at once; what still comes is read, so that the caller gets to see it.
                drop(guard);
                let answer = answer.unwrap_or(Answer::Failed);
                spawn_local(upload::finish(passing, answer.is_streamed()));
                return Ok(answer.encode());
            }
            // While a server takes nothing, nobody reads the body, and its end is not seen there.
            () = client.stream.wait_for_end() => return Err(Problem::Gone),
            passed = passing.as_mut() => passed,
            never = self.dispatcher.expire(&guard.open) => match never {},
        };
        match passed.result {
            Ok(()) => self.dispatcher.body_complete(&guard.open),
            Err(broken) if broken.is_untaken() => {
                self.dispatcher.give_up(&guard.open, &broken.to_string());
                spawn_local(upload::drain(passed.body));
            }
            Err(broken) => return Err(broken.into()),
        }
        self.wait_for_answer(client, &guard.open, answer).await
    }

    /// The answer to a job that has come whole, as long as its caller is there for it. One that has left is not waited for
    /// whatever else came on its connection: its job must not go on to a server.
    async fn wait_for_answer(
        &self,
        client: &ClientConnection,
        open: &OpenRequest,
        answer: Receiver<Answer>,
    ) -> Result<Response<Body>, Problem> {
        tokio::select! {
            biased;
            answer = answer => Ok(answer.unwrap_or(Answer::Failed).encode()),
            () = client.stream.wait_for_end() => Err(Problem::Gone),
            never = self.dispatcher.expire(open) => match never {},
        }
    }

    /// Closes idle callers whenever clients are let go, as long as the node runs.
    pub async fn close_in_drain(self: Rc<Self>) {
        loop {
            if let Some(pause) = self.lifecycle.spares_for() {
                self.capacity.close_idle(pause);
            }
            if !self.lifecycle.reads_requests() {
                self.capacity.stop_reading();
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// The process ends: what has been read and has no answer gets none.
    pub fn log_unanswered(&self, why: &str) {
        self.late_answers.record_unanswered(self.capacity.unanswered_requests(), why);
    }

    /// Closes idle callers and waits until the last has its answer.
    pub async fn close_all(&self) {
        while self.capacity.has_clients() {
            self.capacity.close_idle(Duration::ZERO);
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Tells the module that the caller left, if it goes before the answer.
struct ClientLeftGuard<'a> {
    dispatcher: &'a Dispatcher,
    open: Rc<OpenRequest>,
}

impl Drop for ClientLeftGuard<'_> {
    fn drop(&mut self) {
        self.dispatcher.client_left(&self.open);
    }
}

/// Why a job is not taken.
enum Problem {
    /// Its caller broke off.
    Gone,
    Malformed(String),
}

impl From<BodyError> for Problem {
    fn from(broken: BodyError) -> Self {
        match broken {
            BodyError::Cut => Problem::Gone,
            other => Problem::Malformed(other.to_string()),
        }
    }
}

/// Rejects a job of which no more was read than this.
fn reject(start: BodyStart) -> Response<Body> {
    drain_rest(start);
    Answer::Rejected(0.0).encode()
}

/// Reads the rest of a body that nobody needs without keeping it, so that what comes behind it has its turn.
fn drain_rest(start: BodyStart) {
    if let BodyStart::Partial(_, rest) = start {
        spawn_local(upload::drain(rest));
    }
}
