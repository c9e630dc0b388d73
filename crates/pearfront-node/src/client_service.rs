//! Serves client connections: reads requests, hands them to the dispatcher and writes the answers.
//! A request is accepted once its last byte has arrived; from then on exactly one answer is due.
//! Used by `accept` and `main`.

use crate::body_buffer::BodyBuffer;
use crate::capacity::{Capacity, RequestReservation};
use crate::client_connection::ClientConnection;
use crate::connection_pool::ConnectionPool;
use crate::counters::Counters;
use crate::deadline::Deadline;
use crate::dispatcher::{Dispatcher, OpenRequest};
use crate::late_answers::{AnswerTiming, LateAnswers};
use crate::lifecycle::Lifecycle;
use crate::logger::{InfoLimiter, WarnLimiter};
use crate::message::{self, Answer, Body, ClientCall, ClientRequest, RequestBody};
use crate::runtime_settings::SharedSettings;
use crate::streaming::{BodyError, BodyStart, MAX_BUFFERED_BYTES};
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
use tokio::time::{Instant, sleep, timeout};

/// Interval at which connections are checked in a drain or at exit.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time, ms, before the decision module's last answers in which client connections are closed:
/// nearly all requests are answered within it.
pub const CLOSING_PERIOD_MS: f64 = 1000.0;
/// A connection that is to be closed, but has a partial head, is closed once no bytes have moved on
/// it for this long.
const NO_PROGRESS: Duration = Duration::from_millis(200);
/// How long connections may take to be closed after the last answer, as the process exits.
const FINAL_CLOSE_TIME: Duration = Duration::from_millis(50);
/// Log lines per second about answers that were broken off.
const LOG_LINES_PER_SECOND: u32 = 10;

/// How a client connection ended. The names appear in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionOutcome {
    /// The client ended it, or its last answer announced the close, or its data could not be
    /// parsed.
    InTurn,
    /// Its slot was needed, and it had at most a partial head.
    Evicted,
    /// It was to be closed, and the partial request on it made no more progress.
    LetGo,
    /// The client left in the middle of an answer.
    ClientLeft,
    /// The node broke off an answer under way.
    BrokenOff(BreakReason),
}

/// Why the node broke off an answer under way whose server had not ended it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BreakReason {
    PipelinedAnswerDue,
    ClientStalled,
}

impl std::fmt::Display for BreakReason {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            BreakReason::PipelinedAnswerDue => "the answer to a pipelined request is due",
            BreakReason::ClientStalled => "its client takes none of it",
        })
    }
}

/// Serves all client connections of the process.
pub struct ClientService {
    pub dispatcher: Rc<Dispatcher>,
    pub capacity: Rc<Capacity>,
    pool: Rc<ConnectionPool>,
    settings: Rc<SharedSettings>,
    pub counters: Rc<Counters>,
    pub lifecycle: Rc<Lifecycle>,
    late_answers: LateAnswers,
    malformed_log: WarnLimiter,
    no_capacity_log: WarnLimiter,
    broken_off_log: InfoLimiter,
}

impl ClientService {
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        capacity: Rc<Capacity>,
        pool: Rc<ConnectionPool>,
        settings: Rc<SharedSettings>,
        counters: Rc<Counters>,
        lifecycle: Rc<Lifecycle>,
    ) -> Rc<Self> {
        Rc::new(Self {
            dispatcher,
            capacity,
            pool,
            settings,
            late_answers: LateAnswers::new(counters.clone()),
            counters,
            lifecycle,
            malformed_log: WarnLimiter::default(),
            no_capacity_log: WarnLimiter::default(),
            broken_off_log: InfoLimiter::new(LOG_LINES_PER_SECOND),
        })
    }

    /// Serves a connection on which nothing arrived before `earliest`.
    pub fn serve(self: &Rc<Self>, stream: TcpStream, earliest: Instant) {
        self.counters.callers.add();
        let stream = TrackedStream::from_client(stream, self.capacity.take_client_slot(), earliest);
        spawn_local(self.clone().run_connection(stream));
    }

    /// Returns whether one more connection may be accepted; closes idle ones for it if necessary.
    pub fn make_slot(&self) -> bool {
        self.pool.make_room_for_client()
    }

    /// Runs one connection until it ends, is closed or has to be aborted.
    async fn run_connection(self: Rc<Self>, stream: Rc<TrackedStream>) {
        let (number, client) = self.capacity.add_client(stream.clone());
        let service = service_fn(|request: Request<Incoming>| {
            client.begin_request(request.version());
            self.answer(&client, request)
        });
        let mut connection = pin!(
            Builder::new()
                .max_buf_size(self.capacity.read_buffer_bytes())
                .serve_connection(HyperIo(stream.clone()), service)
        );
        let mut closing = None;
        // Called right before the sending side is shut down. Whoever chose this connection to be
        // closed checked earlier, and many were chosen at once; data that arrived since is a
        // request and is answered first.
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
                    // A client that disconnects is noticed by its request, if it has one.
                    if let Err(error) = ended
                        && error.is_parse()
                    {
                        self.refuse_malformed(&error.to_string());
                        client.mark_answered_early();
                    }
                    if client.is_answered_early() {
                        stream.linger().await;
                    } else if is_whole {
                        client.mark_answers_complete();
                        stream.wait_for_receiver().await;
                    }
                    break ConnectionOutcome::InTurn;
                }
                never = stream.watch_pipelined() => match never {},
                outcome = self.wait_for_early_end(&client) => break outcome,
                () = client.abort_requested.notified() => if client.confirm_abort() { break abort_outcome(&client) },
                () = client.close_requested.notified(), if closing.is_none() => {
                    closing = Some((stream.bytes_moved(), false));
                    end(connection.as_mut());
                }
                () = stream.wait_until_read_out(), if closing.is_none() => {
                    closing = Some((stream.bytes_moved(), false));
                    end(connection.as_mut());
                }
                () = sleep(NO_PROGRESS), if closing.is_some() => {
                    // A head that keeps growing without an end is no progress either.
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
        self.record_outcome(&client, outcome);
        self.capacity.remove_client(number);
    }

    /// Counts and logs the end of a connection where it cuts off an answer or a request.
    fn record_outcome(&self, client: &ClientConnection, outcome: ConnectionOutcome) {
        match outcome {
            ConnectionOutcome::Evicted => return,
            ConnectionOutcome::BrokenOff(reason) => {
                if client.is_streaming() {
                    self.counters.flows_broken.add();
                }
                self.broken_off_log.info(|| format!("answer broken off: {reason}"));
                return;
            }
            ConnectionOutcome::InTurn | ConnectionOutcome::LetGo | ConnectionOutcome::ClientLeft => {}
        }
        self.dispatcher.guard.check_close(client, &format!("{outcome:?}"));
        if !client.stream.has_ended() {
            self.late_answers
                .record_unanswered(client.unanswered(), &format!("their connection ended: {outcome:?}"));
        }
    }

    /// Waits until an answer under way has to be broken off: its client has left, or the answer to
    /// a pipelined request is due, which cannot be sent before this one ends. Pipelined requests
    /// are still unread then, so the client may safely send them again.
    async fn wait_for_early_end(&self, client: &ClientConnection) -> ConnectionOutcome {
        loop {
            if !client.is_streaming() {
                client.streaming_changed().await;
                continue;
            }
            tokio::select! {
                () = client.streaming_changed() => {}
                () = client.stream.wait_for_end() => return ConnectionOutcome::ClientLeft,
                () = self.dispatcher.pipelined_answer_is_due(&client.stream) => {
                    return ConnectionOutcome::BrokenOff(BreakReason::PipelinedAnswerDue);
                }
            }
        }
    }

    /// Answers one request, and decides whether its connection stays open.
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
        // Only the answer to the last request that has arrived may announce the close.
        if self.lifecycle.keeps_alive() && !client.stream.is_ending() || client.stream.has_further_request() {
            return answer;
        }
        client.stream.stop_reading();
        answer.map(message::last_on_connection)
    }

    /// Decodes and answers one call.
    async fn handle_call(
        &self,
        client: &ClientConnection,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, BodyError> {
        let (head, body) = request.into_parts();
        let has_length = client.stream.next_request().has_length;
        let call = message::decode_client_call(head, &self.settings.current(), has_length);
        let problem = match call {
            Ok(ClientCall::Up) => return Ok(message::encode_up(self.lifecycle.is_ready())),
            Ok(ClientCall::Request(request)) => match self.answer_request(client, *request, body).await {
                Ok(answer) => return Ok(answer),
                Err(Problem::ClientLeft) => return Err(BodyError::Cut),
                Err(Problem::Malformed(problem)) => problem,
            },
            Err(problem) => match upload::read_start(body, None).await {
                Ok(start) => {
                    discard_rest(start);
                    return Ok(self.refuse_malformed(&problem));
                }
                Err(BodyError::Cut) => return Err(BodyError::Cut),
                Err(_) => problem,
            },
        };
        // The body is still arriving: nothing that follows on the connection is a request.
        client.mark_answered_early();
        Ok(message::last_on_connection(self.refuse_malformed(&problem)))
    }

    /// Counts and logs a malformed request, and returns its answer.
    fn refuse_malformed(&self, problem: &str) -> Response<Body> {
        self.counters.malformed.add();
        self.malformed_log.warn(format_args!("malformed request: {problem}"));
        message::encode_malformed(problem)
    }

    /// The answer to a request, or what is wrong with its body. Counts answers that are too late.
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

    /// Admits a request and hands it to the dispatcher; rejects it if there is no capacity or time.
    async fn forward(
        &self,
        client: &ClientConnection,
        mut request: ClientRequest,
        body: Incoming,
    ) -> Result<Response<Body>, Problem> {
        let length = body.size_hint().exact();
        let Some(memory) = self.capacity.reserve_request(request.head_bytes()) else {
            // What waits for its body to be read takes no more than its connection.
            drop(request);
            return Ok(self.reject_without_room(upload::read_start(body, None).await?));
        };
        let expected = length.map(|length| length as usize).filter(|length| *length <= MAX_BUFFERED_BYTES);
        let buffer = BodyBuffer::for_request(self.capacity.clone(), expected);
        let start = upload::read_start(body, Some(buffer)).await?;
        let is_arriving = matches!(start, BodyStart::Partial(..));
        let is_kept = !matches!(start, BodyStart::NotKept(_));
        let Some(reservation) = self.capacity.admit(memory, is_arriving).filter(|_| is_kept) else {
            return Ok(self.reject_without_room(start));
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
            discard_rest(start);
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
            start @ BodyStart::NotKept(_) => Ok(self.reject_without_room(start)),
        }
    }

    /// Rejects a request for which there is no memory or no connection.
    fn reject_without_room(&self, start: BodyStart) -> Response<Body> {
        self.counters.no_room.add();
        self.no_capacity_log.warn("no capacity for a request, rejected");
        reject(start)
    }

    /// The answer to a request whose body is streamed to a server while it arrives.
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
        let answer_signal = upload.answer_signal();
        let mut passing = Box::pin(upload.pass_on(Rc::downgrade(&client.stream), body));
        let passed = tokio::select! {
            biased;
            answer = &mut answer => {
                // Answered before the body ended; the rest is read so that the client gets to see
                // the answer.
                drop(guard);
                let answer = answer.unwrap_or(Answer::Failed);
                if answer.is_streamed() {
                    answer_signal.answer_streamed();
                }
                spawn_local(upload::finish(passing, answer.is_streamed()));
                return Ok(answer.encode());
            }
            // While a server accepts no data, nobody reads the body, so its reader does not notice
            // the client's end.
            () = client.stream.wait_for_end() => return Err(Problem::ClientLeft),
            passed = passing.as_mut() => passed,
            never = self.dispatcher.expire(&guard.open) => match never {},
        };
        match passed.result {
            Ok(()) => self.dispatcher.body_complete(&guard.open),
            Err(error) if error.is_untaken() => {
                self.dispatcher.give_up(&guard.open, &error.to_string());
                spawn_local(upload::discard(passed.body));
            }
            Err(error) => return Err(error.into()),
        }
        self.wait_for_answer(client, &guard.open, answer).await
    }

    /// The answer to a request that has arrived completely, as long as its client is connected.
    /// Once it has left, the request is dropped whatever else arrived on the connection, so that it
    /// does not go on to a server.
    async fn wait_for_answer(
        &self,
        client: &ClientConnection,
        open: &OpenRequest,
        answer: Receiver<Answer>,
    ) -> Result<Response<Body>, Problem> {
        tokio::select! {
            biased;
            answer = answer => Ok(answer.unwrap_or(Answer::Failed).encode()),
            () = client.stream.wait_for_end() => Err(Problem::ClientLeft),
            never = self.dispatcher.expire(open) => match never {},
        }
    }

    /// Closes idle connections whenever the node drains. Runs as long as the node.
    pub async fn close_in_drain(self: Rc<Self>) {
        loop {
            if let Some(pause) = self.lifecycle.idle_close_after() {
                self.capacity.close_idle(pause);
            }
            if !self.lifecycle.reads_requests() {
                self.capacity.stop_reading();
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Whether a client is receiving an answer.
    pub fn has_answers_under_way(&self) -> bool {
        self.capacity.has_answers_under_way()
    }

    /// Waits for the end of the answers under way. Each ends by itself: its server or its client may
    /// pause for a limited time only.
    pub async fn finish_answers(&self) {
        while self.has_answers_under_way() {
            self.capacity.close_idle(Duration::ZERO);
            sleep(CHECK_INTERVAL).await;
        }
        let _ = timeout(FINAL_CLOSE_TIME, self.close_all()).await;
    }

    /// Records, as the process exits, that the requests that were read and have no answer get none.
    pub fn log_unanswered(&self, why: &str) {
        self.late_answers.record_unanswered(self.capacity.unanswered_requests(), why);
    }

    /// Closes idle connections and waits until the last request is answered.
    pub async fn close_all(&self) {
        while self.capacity.has_clients() {
            self.capacity.close_idle(Duration::ZERO);
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// The outcome for a connection that is aborted.
fn abort_outcome(client: &ClientConnection) -> ConnectionOutcome {
    if client.stream.is_write_blocked() {
        ConnectionOutcome::BrokenOff(BreakReason::ClientStalled)
    } else {
        ConnectionOutcome::Evicted
    }
}

/// Reports to the dispatcher that the client has left, if that happens before the answer.
struct ClientLeftGuard<'a> {
    dispatcher: &'a Dispatcher,
    open: Rc<OpenRequest>,
}

impl Drop for ClientLeftGuard<'_> {
    fn drop(&mut self) {
        self.dispatcher.client_left(&self.open);
    }
}

/// Why a request is not accepted.
enum Problem {
    /// Its client disconnected.
    ClientLeft,
    Malformed(String),
}

impl From<BodyError> for Problem {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::Cut => Problem::ClientLeft,
            other => Problem::Malformed(other.to_string()),
        }
    }
}

/// Rejects a request of which only this much has been read.
fn reject(start: BodyStart) -> Response<Body> {
    discard_rest(start);
    Answer::Rejected(0.0).encode()
}

/// Reads and drops the rest of a body that is not needed, so that the next request on the
/// connection can be read.
fn discard_rest(start: BodyStart) {
    match start {
        BodyStart::Partial(_, rest) | BodyStart::NotKept(Some(rest)) => {
            spawn_local(upload::discard(rest));
        }
        BodyStart::Complete(_) | BodyStart::NotKept(None) => {}
    }
}
