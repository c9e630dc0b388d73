//! First stage: clients' connections and what comes on them. A job is taken once its last byte is here; from then
//! on it is owed one answer.

use crate::admit::{Room, Share};
use crate::book::Book;
use crate::client::Client;
use crate::connection_pool::{BUFFER_BYTES, ConnectionPool};
use crate::deadline::Deadline;
use crate::flow::{Broken, MOST_WHOLE, Start};
use crate::lifecycle::Lifecycle;
use crate::logger::{InfoLimiter, WarnLimiter};
use crate::message::{self, Answer, Body, Call, Job, JobBody};
use crate::overdue::{Answered, Overdue};
use crate::route::{Held, Route};
use crate::runtime_settings::SharedSettings;
use crate::upload::{self, Upload};
use crate::wire::{Socket, Wire};
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
pub const LAST_SERVED: f64 = 1000.0;
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

pub struct TakeIn {
    pub route: Rc<Route>,
    pub room: Rc<Room>,
    pool: Rc<ConnectionPool>,
    settings: Rc<SharedSettings>,
    pub book: Rc<Book>,
    pub lifecycle: Rc<Lifecycle>,
    overdue: Overdue,
    malformed: WarnLimiter,
    crowded: WarnLimiter,
    broken_off: InfoLimiter,
}

impl TakeIn {
    pub fn new(
        route: Rc<Route>,
        room: Rc<Room>,
        pool: Rc<ConnectionPool>,
        settings: Rc<SharedSettings>,
        book: Rc<Book>,
        lifecycle: Rc<Lifecycle>,
    ) -> Rc<Self> {
        Rc::new(Self {
            route,
            room,
            pool,
            settings,
            overdue: Overdue::new(book.clone()),
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
        let wire = Wire::from_caller(stream, self.room.caller_place(), came);
        spawn_local(self.clone().serve(wire));
    }

    /// Is there a place for one more connection? If need be idle ones are closed for it.
    pub fn make_place(&self) -> bool {
        self.pool.make_room_for_client()
    }

    async fn serve(self: Rc<Self>, wire: Rc<Wire>) {
        let (number, caller) = self.room.enter(wire.clone());
        let service = service_fn(|request: Request<Incoming>| {
            caller.begin(request.version());
            self.answer(&caller, request)
        });
        let mut connection =
            pin!(Builder::new().max_buf_size(BUFFER_BYTES).serve_connection(Socket(wire.clone()), service));
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
            self.route.guard.check_close(&caller, &format!("{ended:?}"));
            if !wire.has_ended() {
                self.overdue.never(caller.unanswered(), &format!("their connection ended: {ended:?}"));
            }
        }
        self.room.leave(number);
    }

    /// Waits until an answer that is on its way ends in its middle: its client has left, or one behind it is due, and answers
    /// come in order. What lies behind it is unread then, so that its client may send it again.
    async fn flow_ended(&self, client: &Client) -> Ended {
        loop {
            if !client.is_flowing() {
                client.flow_changed().await;
                continue;
            }
            tokio::select! {
                () = client.flow_changed() => {}
                () = client.wire.ended() => return Ended::ClientLeft,
                () = self.route.one_behind_is_due(&client.wire) => return Ended::BrokenOff,
            }
        }
    }

    async fn answer(
        &self,
        caller: &Rc<Client>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Broken> {
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
        if self.lifecycle.keeps_alive() && !caller.wire.is_ending() || caller.wire.has_more() {
            return answer;
        }
        caller.wire.end_reading();
        answer.map(message::last_on_connection)
    }

    async fn call(&self, caller: &Client, request: Request<Incoming>) -> Result<Response<Body>, Broken> {
        let (head, body) = request.into_parts();
        let has_length = caller.wire.hand_out().has_length;
        let call = message::decode_call(head, &self.settings.current(), has_length);
        let problem = match call {
            Ok(Call::Up) => return Ok(message::encode_up(self.lifecycle.is_ready())),
            Ok(Call::Job(job)) => match self.job(caller, *job, body).await {
                Ok(answer) => return Ok(answer),
                Err(Problem::Gone) => return Err(Broken::Cut),
                Err(Problem::Malformed(problem)) => problem,
            },
            Err(problem) => match upload::begin(body, false).await {
                Ok(start) => {
                    drain_rest(start);
                    return Ok(self.refuse_malformed(&problem));
                }
                Err(Broken::Cut) => return Err(Broken::Cut),
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
    async fn job(&self, caller: &Client, job: Job, body: Incoming) -> Result<Response<Body>, Problem> {
        let (id, time, turn) = (job.id().clone(), job.left, self.route.clock.now());
        let answer = self.exchange(caller, job, body).await?;
        if let Some(came) = caller.wire.came() {
            let (status, answered) = (answer.status(), self.route.clock.now());
            let came = self.route.clock.time_of(came);
            self.overdue.answered(&Answered { id, status, came, turn, answered, time });
        }
        Ok(answer)
    }

    async fn exchange(
        &self,
        caller: &Client,
        mut job: Job,
        body: Incoming,
    ) -> Result<Response<Body>, Problem> {
        let length = body.size_hint().exact();
        let kept = length.map_or(MOST_WHOLE, |length| MOST_WHOLE.min(length as usize));
        let share = self.room.job(kept);
        let start = upload::begin(body, share.is_some()).await?;
        let Some(share) = share else {
            self.book.no_room.add();
            self.crowded.warn("no room for a job, rejected");
            return Ok(reject(start));
        };
        let deadline = self.route.deadline(job.left, &caller.wire);
        if matches!(start, Start::Whole(_)) {
            deadline.whole();
        }
        if deadline.is_over() {
            self.book.too_late.add();
            return Ok(reject(start));
        }
        if self.route.has_open(&job) {
            drain_rest(start);
            return Ok(self.refuse_malformed("another job with its id is open"));
        }
        match start {
            Start::Whole(body) => {
                job.body = JobBody::Whole(body);
                let (held, answer) = self.route.take(&caller.wire, job, deadline, share);
                let guard = Guard { route: &self.route, held };
                self.answered(caller, &guard.held, answer).await
            }
            Start::Begun(first, rest) => {
                let (upload, source) = Upload::new(self.room.clone());
                job.body = JobBody::Flowing { first, rest: RefCell::new(Some(source)), length };
                self.flow(caller, job, deadline, share, rest, upload).await
            }
        }
    }

    /// The answer to a job whose body flows on to a server while it comes.
    async fn flow(
        &self,
        caller: &Client,
        job: Job,
        deadline: Deadline,
        share: Share,
        body: Incoming,
        upload: Upload,
    ) -> Result<Response<Body>, Problem> {
        self.book.flows_in.add();
        let (held, mut answer) = self.route.take(&caller.wire, job, deadline, share);
        let guard = Guard { route: &self.route, held };
        let mut passing = Box::pin(upload.pass_on(Rc::downgrade(&caller.wire), body));
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
            () = caller.wire.ended() => return Err(Problem::Gone),
            passed = passing.as_mut() => passed,
            never = self.route.expire(&guard.held) => match never {},
        };
        match passed.came {
            Ok(()) => self.route.body_came(&guard.held),
            Err(broken) if broken.is_untaken() => {
                self.route.give_up(&guard.held, &broken.to_string());
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
        caller: &Client,
        held: &Held,
        answer: Receiver<Answer>,
    ) -> Result<Response<Body>, Problem> {
        tokio::select! {
            biased;
            answer = answer => Ok(answer.unwrap_or(Answer::Failed).encode()),
            () = caller.wire.ended() => Err(Problem::Gone),
            never = self.route.expire(held) => match never {},
        }
    }

    /// Closes idle callers whenever clients are let go, as long as the node runs.
    pub async fn let_go(self: Rc<Self>) {
        loop {
            if let Some(pause) = self.lifecycle.idle_close_after() {
                self.room.close_all_idle(pause);
            }
            if !self.lifecycle.reads_requests() {
                self.room.end_reading();
            }
            sleep(LOOK).await;
        }
    }

    /// The process ends: what has been read and has no answer gets none.
    pub fn never_answered(&self, why: &str) {
        self.overdue.never(self.room.unanswered(), why);
    }

    /// Closes idle callers and waits until the last has its answer.
    pub async fn finish(&self) {
        while self.room.has_callers() {
            self.room.close_all_idle(Duration::ZERO);
            sleep(LOOK).await;
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

/// Why a job is not taken.
enum Problem {
    /// Its caller broke off.
    Gone,
    Malformed(String),
}

impl From<Broken> for Problem {
    fn from(broken: Broken) -> Self {
        match broken {
            Broken::Cut => Problem::Gone,
            other => Problem::Malformed(other.to_string()),
        }
    }
}

/// Rejects a job of which no more was read than this.
fn reject(start: Start) -> Response<Body> {
    drain_rest(start);
    Answer::Rejected(0.0).encode()
}

/// Reads the rest of a body that nobody needs without keeping it, so that what comes behind it has its turn.
fn drain_rest(start: Start) {
    if let Start::Begun(_, rest) = start {
        spawn_local(upload::drain(rest));
    }
}
