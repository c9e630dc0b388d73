//! First stage: clients' connections and what comes on them. A job is taken once its last byte is here; from then
//! on it is owed one answer.

use crate::capacity::{Capacity, RequestReservation};
use crate::client_connection::ClientConnection;
use crate::connection_pool::{BUFFER_BYTES, ConnectionPool};
use crate::counters::Counters;
use crate::deadline::Deadline;
use crate::dispatcher::{Dispatcher, OpenRequest};
use crate::late_answers::{Answered, LateAnswers};
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
use tokio::time::{Instant, sleep};

/// How often is looked whether clients are to be let go, or have gone.
const LOOK: Duration = Duration::from_millis(5);
/// Time, ms, before the module's last answers in which callers are closed: nearly all jobs are answered within it.
pub const CLOSING_PERIOD_MS: f64 = 1000.0;
/// A caller that is to be closed, and has begun a head or not taken its answer, is cut off once nothing has moved
/// on its connection for so long.
const STUCK: Duration = Duration::from_millis(200);
/// Lines a second of the log that tell of answers that were broken off.
const LINES: u32 = 10;

/// How a client's connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
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
    pool: Rc<ConnectionPool>,
    settings: Rc<SharedSettings>,
    pub book: Rc<Counters>,
    pub lifecycle: Rc<Lifecycle>,
    overdue: LateAnswers,
    malformed: WarnLimiter,
    crowded: WarnLimiter,
    broken_off: InfoLimiter,
}

impl ClientService {
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        capacity: Rc<Capacity>,
        pool: Rc<ConnectionPool>,
        settings: Rc<SharedSettings>,
        book: Rc<Counters>,
        lifecycle: Rc<Lifecycle>,
    ) -> Rc<Self> {
        Rc::new(Self {
            dispatcher,
            capacity,
            pool,
            settings,
            overdue: LateAnswers::new(book.clone()),
            book,
            lifecycle,
            malformed: WarnLimiter::default(),
            crowded: WarnLimiter::default(),
            broken_off: InfoLimiter::new(LINES),
        })
    }

    /// Serves a connection, on which nothing came before that time.
    pub fn open(self: &Rc<Self>, stream: TcpStream, came: Instant) {
        self.book.callers.add();
        let wire = TrackedStream::from_client(stream, self.capacity.take_client_slot(), came);
        spawn_local(self.clone().serve(wire));
    }

    /// Is there a place for one more connection? If need be idle ones are closed for it.
    pub fn make_place(&self) -> bool {
        self.pool.make_room_for_client()
    }

    async fn serve(self: Rc<Self>, wire: Rc<TrackedStream>) {
        let (number, caller) = self.capacity.enter(wire.clone());
        let service = service_fn(|request: Request<Incoming>| {
            caller.begin(request.version());
            self.answer(&caller, request)
        });
        let mut connection =
            pin!(Builder::new().max_buf_size(BUFFER_BYTES).serve_connection(HyperIo(wire.clone()), service));
        let mut closing = None;
        // Right before the end of the sending: whoever chose this connection to be closed looked earlier, and many were
        // chosen at once. What has come since is a request, and is answered first.
        let end = |connection: Pin<&mut Connection<_, _>>| {
            let has_half_a_head = caller.is_idle() && wire.waiting() == 0 && !wire.has_unread();
            if !wire.has_more() || has_half_a_head {
                wire.end_reading();
                connection.graceful_shutdown();
            }
        };
        let ended = loop {
            tokio::select! {
                biased;
                ended = connection.as_mut() => {
                    let is_whole = ended.is_ok();
                    // A caller that breaks off shows on its job, if it had one.
                    if let Err(error) = ended {
                        if error.is_parse() {
                            self.refuse_malformed(&error.to_string());
                            caller.answer_early();
                        } else if caller.ends_with_connection() {
                            wire.reset_when_closed();
                        }
                    }
                    if caller.is_answered_early() {
                        wire.linger().await;
                    } else if is_whole {
                        wire.wait_for_taker().await;
                    }
                    break Ended::InTurn;
                }
                never = wire.look_behind() => match never {},
                ended = self.flow_ended(&caller) => break ended,
                () = caller.cut.notified() => if caller.is_to_be_cut() { break Ended::Stalled },
                () = caller.told.notified(), if closing.is_none() => {
                    closing = Some((wire.moved(), false));
                    end(connection.as_mut());
                }
                () = wire.read_out(), if closing.is_none() => {
                    closing = Some((wire.moved(), false));
                    end(connection.as_mut());
                }
                () = sleep(STUCK), if closing.is_some() => {
                    // A head that goes on and on moves nothing forward either.
                    let quiet = |moved| moved == wire.moved() && !wire.has_unread();
                    let stuck = |(moved, in_head)| quiet(moved) || in_head && wire.in_head();
                    if caller.is_idle() && closing.is_some_and(stuck) {
                        break Ended::LetGo;
                    }
                    closing = Some((wire.moved(), wire.in_head()));
                    end(connection.as_mut());
                }
            }
        };
        if ended == Ended::BrokenOff {
            self.book.flows_broken.add();
            self.broken_off.info(|| "an answer ends in its middle: one behind it is due".into());
        } else if ended != Ended::Stalled {
            self.dispatcher.guard.check_close(&caller, &format!("{ended:?}"));
            if !wire.has_ended() {
                self.overdue.never(caller.unanswered(), &format!("their connection ended: {ended:?}"));
            }
        }
        self.capacity.leave(number);
    }

    /// Waits until an answer that is on its way ends in its middle: its client has left, or one behind it is due, and answers
    /// come in order. What lies behind it is unread then, so that its client may send it again.
    async fn flow_ended(&self, client: &ClientConnection) -> Ended {
        loop {
            if !client.is_flowing() {
                client.flow_changed().await;
                continue;
            }
            tokio::select! {
                () = client.flow_changed() => {}
                () = client.stream.ended() => return Ended::ClientLeft,
                () = self.dispatcher.one_behind_is_due(&client.stream) => return Ended::BrokenOff,
            }
        }
    }

    async fn answer(
        &self,
        caller: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, BodyError> {
        let mut answer = self.call(caller, request).await;
        match answer.as_mut().map(Response::body_mut) {
            Ok(Either::Right(flow)) => {
                let client = caller.clone();
                flow.at_break(move |_| client.answer_broke());
                flow.keep(Rc::new(caller.flow()));
            }
            _ => caller.end(),
        }
        // Only the last of the requests that have come may say that it is.
        if self.lifecycle.keeps_alive() && !caller.stream.is_ending() || caller.stream.has_more() {
            return answer;
        }
        caller.stream.end_reading();
        answer.map(message::last_on_connection)
    }

    async fn call(
        &self,
        caller: &ClientConnection,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, BodyError> {
        let (head, body) = request.into_parts();
        let has_length = caller.stream.hand_out().has_length;
        let call = message::decode_client_call(head, &self.settings.current(), has_length);
        let problem = match call {
            Ok(ClientCall::Up) => return Ok(message::encode_up(self.lifecycle.is_ready())),
            Ok(ClientCall::Request(job)) => match self.job(caller, *job, body).await {
                Ok(answer) => return Ok(answer),
                Err(Problem::Gone) => return Err(BodyError::Cut),
                Err(Problem::Malformed(problem)) => problem,
            },
            Err(problem) => match upload::begin(body, false).await {
                Ok(start) => {
                    drain_rest(start);
                    return Ok(self.refuse_malformed(&problem));
                }
                Err(BodyError::Cut) => return Err(BodyError::Cut),
                Err(_) => problem,
            },
        };
        // Its body goes on: nothing that comes on the connection from now on is a job.
        caller.answer_early();
        Ok(message::last_on_connection(self.refuse_malformed(&problem)))
    }

    fn refuse_malformed(&self, problem: &str) -> Response<Body> {
        self.book.malformed.add();
        self.malformed.warn(format_args!("malformed job: {problem}"));
        message::encode_malformed(problem)
    }

    /// The answer to a job, or what is wrong with its body; counted if it is too late.
    async fn job(
        &self,
        caller: &ClientConnection,
        job: ClientRequest,
        body: Incoming,
    ) -> Result<Response<Body>, Problem> {
        let (id, time, turn) = (job.id().clone(), job.left, self.dispatcher.clock.now());
        let answer = self.exchange(caller, job, body).await?;
        if let Some(came) = caller.stream.came() {
            let (status, answered) = (answer.status(), self.dispatcher.clock.now());
            let came = self.dispatcher.clock.time_of(came);
            self.overdue.answered(&Answered { id, status, came, turn, answered, time });
        }
        Ok(answer)
    }

    async fn exchange(
        &self,
        caller: &ClientConnection,
        mut job: ClientRequest,
        body: Incoming,
    ) -> Result<Response<Body>, Problem> {
        let length = body.size_hint().exact();
        let kept = length.map_or(MAX_BUFFERED_BYTES, |length| MAX_BUFFERED_BYTES.min(length as usize));
        let share = self.capacity.job(kept);
        let start = upload::begin(body, share.is_some()).await?;
        let Some(share) = share else {
            self.book.no_room.add();
            self.crowded.warn("no room for a job, rejected");
            return Ok(reject(start));
        };
        let deadline = self.dispatcher.deadline(job.left, &caller.stream);
        if matches!(start, BodyStart::Complete(_)) {
            deadline.whole();
        }
        if deadline.is_over() {
            self.book.too_late.add();
            return Ok(reject(start));
        }
        if self.dispatcher.has_open(&job) {
            drain_rest(start);
            return Ok(self.refuse_malformed("another job with its id is open"));
        }
        match start {
            BodyStart::Complete(body) => {
                job.body = RequestBody::Whole(body);
                let (held, answer) = self.dispatcher.take(&caller.stream, job, deadline, share);
                let guard = Guard { route: &self.dispatcher, held };
                self.answered(caller, &guard.held, answer).await
            }
            BodyStart::Partial(first, rest) => {
                let (upload, source) = Upload::new(self.capacity.clone());
                job.body = RequestBody::Flowing { first, rest: RefCell::new(Some(source)), length };
                self.flow(caller, job, deadline, share, rest, upload).await
            }
        }
    }

    /// The answer to a job whose body flows on to a server while it comes.
    async fn flow(
        &self,
        caller: &ClientConnection,
        job: ClientRequest,
        deadline: Deadline,
        share: RequestReservation,
        body: Incoming,
        upload: Upload,
    ) -> Result<Response<Body>, Problem> {
        self.book.flows_in.add();
        let (held, mut answer) = self.dispatcher.take(&caller.stream, job, deadline, share);
        let guard = Guard { route: &self.dispatcher, held };
        let mut passing = Box::pin(upload.pass_on(Rc::downgrade(&caller.stream), body));
        let passed = tokio::select! {
            biased;
            answer = &mut answer => {
                // Answered at once; what still comes is read, so that the caller gets to see it.
                drop(guard);
                let answer = answer.unwrap_or(Answer::Failed);
                spawn_local(upload::go_on(passing, answer.flows()));
                return Ok(answer.encode());
            }
            // While a server takes nothing, nobody reads the body, and its end is not seen there.
            () = caller.stream.ended() => return Err(Problem::Gone),
            passed = passing.as_mut() => passed,
            never = self.dispatcher.expire(&guard.held) => match never {},
        };
        match passed.came {
            Ok(()) => self.dispatcher.body_came(&guard.held),
            Err(broken) if broken.is_untaken() => {
                self.dispatcher.give_up(&guard.held, &broken.to_string());
                spawn_local(upload::drain(passed.body));
            }
            Err(broken) => return Err(broken.into()),
        }
        self.answered(caller, &guard.held, answer).await
    }

    /// The answer to a job that has come whole, as long as its caller is there for it. One that has left is not waited for
    /// whatever else came on its connection: its job must not go on to a server.
    async fn answered(
        &self,
        caller: &ClientConnection,
        held: &OpenRequest,
        answer: Receiver<Answer>,
    ) -> Result<Response<Body>, Problem> {
        tokio::select! {
            biased;
            answer = answer => Ok(answer.unwrap_or(Answer::Failed).encode()),
            () = caller.stream.ended() => Err(Problem::Gone),
            never = self.dispatcher.expire(held) => match never {},
        }
    }

    /// Closes idle callers whenever clients are let go, as long as the node runs.
    pub async fn close_in_drain(self: Rc<Self>) {
        loop {
            if let Some(pause) = self.lifecycle.idle_close_after() {
                self.capacity.close_all_idle(pause);
            }
            if !self.lifecycle.reads_requests() {
                self.capacity.end_reading();
            }
            sleep(LOOK).await;
        }
    }

    /// The process ends: what has been read and has no answer gets none.
    pub fn log_unanswered(&self, why: &str) {
        self.overdue.never(self.capacity.unanswered_requests(), why);
    }

    /// Closes idle callers and waits until the last has its answer.
    pub async fn close_all(&self) {
        while self.capacity.has_callers() {
            self.capacity.close_all_idle(Duration::ZERO);
            sleep(LOOK).await;
        }
    }
}

/// Tells the module that the caller left, if it goes before the answer.
struct Guard<'a> {
    route: &'a Dispatcher,
    held: Rc<OpenRequest>,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.route.left(&self.held);
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
