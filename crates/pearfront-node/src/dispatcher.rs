//! Third stage: the one place that drives the module. What comes in waits in the inbox for the next round; what
//! the module decides is carried out from here.

use crate::answer_sender::AnswerSender;
use crate::capacity::RequestReservation;
use crate::clock::{Clock, NEVER_MS};
use crate::connection_pool::{Attempt, ConnectionEnd, ConnectionPool};
use crate::counters::Counters;
use crate::deadline::{self, Deadline};
use crate::discovery::{self, Discovery, ServerLocation};
use crate::guard::Guard;
use crate::handover::Peers;
use crate::logger::InfoLimiter;
use crate::message::{Answer, ClientRequest};
use crate::probe::Prober;
use crate::runtime_settings::SharedSettings;
use crate::streaming::BodyError;
use crate::tracked_stream::TrackedStream;
use http_body_util::Either;
use hyper::header::HeaderValue;
use pearfront::interface::{Address, DecisionWriter, Profile};
use pearfront::policy::Balancer;
use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// Added to each wake, ms, so that rounding never lets a round come just before what it is for.
const ROUNDING: f64 = 0.01;
/// Lines a second that tell of requests that were refused, repeated or not sent.
const TOLD_IN_LOG: u32 = 10;

type Word = Box<dyn FnOnce(&mut Balancer)>;

/// What the module is to be told in its next round, in the order in which it came in.
#[derive(Default)]
pub struct EventQueue {
    words: RefCell<Vec<Word>>,
    bell: Notify,
}

impl EventQueue {
    pub fn push(&self, word: impl FnOnce(&mut Balancer) + 'static) {
        self.words.borrow_mut().push(Box::new(word));
        self.bell.notify_one();
    }
}

/// An id as processes tell it one another.
fn text(id: &HeaderValue) -> Cow<'_, str> {
    String::from_utf8_lossy(id.as_bytes())
}

/// A job from its taking in to the end of its last attempt.
pub struct OpenRequest {
    number: u32,
    job: ClientRequest,
    deadline: Deadline,
    /// Rung when that is known.
    whole: Notify,
    relay: AnswerSender,
    /// The connection that it came on; not kept open by it.
    caller: Weak<TrackedStream>,
    attempts: RefCell<Vec<Sent>>,
    out: Cell<usize>,
    _share: RequestReservation,
}

/// An attempt that may have run.
pub struct EarlierAttempt {
    /// When its first byte was written, ms.
    pub written_at: f64,
    /// Where its server stands.
    pub location: Option<ServerLocation>,
}

/// One attempt of a request.
struct Sent {
    server: SocketAddr,
    place: Option<ServerLocation>,
    /// When its first byte was written, ms.
    written: Option<f64>,
    /// Rung when it is called off.
    called_off: Rc<Notify>,
    /// How it ended, once it has.
    end: Option<ConnectionEnd>,
}

impl Sent {
    fn may_have_run(&self) -> bool {
        self.written.is_some() && !self.end.is_some_and(ConnectionEnd::never_ran)
    }
}

impl OpenRequest {
    pub fn id(&self) -> Cow<'_, str> {
        text(self.job.id())
    }

    /// Is it still owed an answer?
    pub fn is_open(&self) -> bool {
        self.relay.is_open()
    }

    /// What is left of the time that its client waits, ms.
    pub fn time_left(&self, now: f64) -> f64 {
        self.deadline.left(now)
    }

    pub fn profile(&self) -> &Profile {
        &self.job.settings.policy_settings.profiles[self.job.profile]
    }

    /// Has its client ended its connection?
    pub fn client_has_left(&self) -> bool {
        self.caller.upgrade().is_none_or(|caller| caller.has_ended())
    }

    /// The first of its attempts that may have run, beside the one at this place.
    pub fn first_that_may_have_run(&self, place: usize) -> Option<EarlierAttempt> {
        let attempts = self.attempts.borrow();
        let others =
            attempts.iter().enumerate().filter(|(other, sent)| *other != place && sent.may_have_run());
        let first = others.map(|(_, sent)| sent).min_by(|a, b| a.written.partial_cmp(&b.written).unwrap())?;
        Some(EarlierAttempt { written_at: first.written?, location: first.place })
    }

    /// Has no byte of it been written, or none that could have run?
    fn is_unsent(&self) -> bool {
        !self.attempts.borrow().iter().any(Sent::may_have_run)
    }

    /// The first byte of an attempt has been written.
    pub fn record_written(&self, place: usize, now: f64) {
        self.attempts.borrow_mut()[place].written = Some(now);
    }

    /// What became of its attempts, for the log.
    fn history(&self) -> String {
        let attempts = self.attempts.borrow();
        let one = |sent: &Sent| match sent.end {
            Some(end) => format!("{} {end:?}", sent.server),
            None => format!("{} open", sent.server),
        };
        match attempts.is_empty() {
            true => "no attempt".into(),
            false => attempts.iter().map(one).collect::<Vec<_>>().join(", "),
        }
    }
}

pub struct Dispatcher {
    pub clock: Clock,
    pub inbox: Rc<EventQueue>,
    pool: Rc<ConnectionPool>,
    discovery: Rc<Discovery>,
    pub guard: Rc<Guard>,
    prober: Rc<Prober>,
    book: Rc<Counters>,
    held: RefCell<HashMap<u32, Rc<OpenRequest>>>,
    /// The other processes of this node, and the ids of the jobs held here and there.
    peers: Rc<Peers>,
    numbered: Cell<u32>,
    refused: InfoLimiter,
    repeated: InfoLimiter,
    unsent: InfoLimiter,
    broken: Rc<InfoLimiter>,
}

impl Dispatcher {
    pub fn new(
        clock: Clock,
        inbox: Rc<EventQueue>,
        pool: Rc<ConnectionPool>,
        discovery: Rc<Discovery>,
        prober: Rc<Prober>,
        book: Rc<Counters>,
        peers: Rc<Peers>,
    ) -> Rc<Self> {
        let guard = prober.guard.clone();
        let (held, numbered) = (RefCell::default(), Cell::new(0));
        let limited = || InfoLimiter::new(TOLD_IN_LOG);
        let (refused, repeated, unsent) = (limited(), limited(), limited());
        Rc::new(Self {
            clock,
            inbox,
            pool,
            discovery,
            guard,
            prober,
            book,
            held,
            peers,
            numbered,
            refused,
            repeated,
            unsent,
            broken: Rc::new(limited()),
        })
    }

    /// Is another job with its id open, whoever sent that, here or in another process of this node?
    pub fn has_open(&self, job: &ClientRequest) -> bool {
        self.peers.has_open_request(&text(job.id()))
    }

    /// Takes a job on; its answer comes through the receiver, whatever happens. Where the body is still coming the module
    /// knows no limit yet.
    pub fn take(
        &self,
        caller: &Rc<TrackedStream>,
        job: ClientRequest,
        deadline: Deadline,
        share: RequestReservation,
    ) -> (Rc<OpenRequest>, oneshot::Receiver<Answer>) {
        let (relay, answer) = AnswerSender::new(self.book.clone());
        let number = self.numbered.get();
        self.numbered.set(number.wrapping_add(1));
        let (settings, profile, customer) = (job.settings.clone(), job.profile, job.customer);
        let limit = if job.flows() { f64::INFINITY } else { deadline.at() };
        let held = Rc::new(OpenRequest {
            number,
            job,
            deadline,
            whole: Notify::new(),
            relay,
            caller: Rc::downgrade(caller),
            attempts: RefCell::default(),
            out: Cell::new(0),
            _share: share,
        });
        self.peers.request_opened(text(held.job.id()).into());
        self.held.borrow_mut().insert(number, held.clone());
        self.book.taken.add();
        self.inbox.push(move |balancer| {
            balancer.request_received_under(&settings.policy_settings, number, profile, customer, limit)
        });
        (held, answer)
    }

    /// When the answer is due to the request that was handed out last on this connection, and whose client waits so long.
    pub fn deadline(&self, time: f64, caller: &Rc<TrackedStream>) -> Deadline {
        Deadline::new(self.clock, self.discovery.stall_monitor(), time, caller)
    }

    /// Since when the process stood still, ms, if it has just done so and not caught up with what came meanwhile.
    pub fn stopped_since(&self) -> Option<f64> {
        self.discovery.stall_monitor().stall_began(self.clock.now())
    }

    /// Waits until an answer that is on its way to this client has to end, as one behind it is due.
    pub async fn one_behind_is_due(&self, client: &Rc<TrackedStream>) {
        deadline::one_behind_is_due(self.clock, &self.discovery.stall_monitor(), client).await;
    }

    /// The last byte of a job has come: its times count from now on.
    pub fn body_came(&self, held: &OpenRequest) {
        let number = held.number;
        held.deadline.whole();
        let limit = held.deadline.at();
        held.whole.notify_waiters();
        self.inbox.push(move |balancer| balancer.body_received(number, limit));
    }

    /// The job's caller is gone, if it had no answer yet.
    pub fn left(&self, held: &OpenRequest) {
        if held.relay.close() {
            self.book.client_left.add();
            let number = held.number;
            self.inbox.push(move |balancer| balancer.client_left(number));
            self.forget(held);
        }
    }

    /// Answers the job once its time is over and nobody else has, whatever it waits for; never returns.
    pub async fn expire(&self, held: &OpenRequest) -> Infallible {
        held.deadline.over().await;
        let why = held.deadline.why();
        self.give_up(held, why);
        pending().await
    }

    /// The same for all that are open, as the process ends.
    pub fn expire_all(&self) {
        let held: Vec<_> = self.held.borrow().values().cloned().collect();
        held.iter().for_each(|held| self.give_up(held, "the process ends"));
    }

    /// Answers the job, if nobody else has, that there is no answer, for this reason.
    pub fn give_up(&self, held: &OpenRequest, why: &str) {
        if !held.relay.is_open() {
            return;
        }
        self.book.expired.add();
        let line = || format!("request {} expired, {why}: {}", text(held.job.id()), held.history());
        self.refused.info(line);
        held.relay.give(if held.is_unsent() { Answer::Rejected(0.0) } else { Answer::Failed });
        let number = held.number;
        self.inbox.push(move |balancer| balancer.client_left(number));
        self.forget(held);
    }

    fn answer(&self, number: u32, answer: Answer) {
        let held = self.held.borrow().get(&number).cloned();
        if let Some(held) = held {
            if matches!(answer, Answer::Rejected(_) | Answer::Failed) {
                let how = if matches!(answer, Answer::Failed) { "failed" } else { "rejected" };
                let left = held.time_left(self.clock.now());
                let line = || {
                    format!("request {} {how}, {left:.0} ms left: {}", text(held.job.id()), held.history())
                };
                self.refused.info(line);
            }
            held.relay.give(answer);
            self.forget(&held);
        }
    }

    /// Drops what nothing is owed for any more: an answered job with no attempt out.
    fn forget(&self, held: &OpenRequest) {
        if held.out.get() == 0 && !held.relay.is_open() {
            self.held.borrow_mut().remove(&held.number);
            self.peers.request_closed(&text(held.job.id()));
        }
    }

    fn attempt(self: &Rc<Self>, number: u32, server: Address, limit: f64) {
        let Some(held) = self.held.borrow().get(&number).cloned() else { return };
        let called_off = Rc::new(Notify::new());
        let place = held.attempts.borrow().len();
        let to = discovery::decode_address(server);
        if place > 0 {
            let line = || format!("request {} sent again, to {to}: {}", text(held.job.id()), held.history());
            self.repeated.info(line);
        }
        held.attempts.borrow_mut().push(Sent {
            server: to,
            place: self.discovery.location_of(to),
            written: None,
            called_off: called_off.clone(),
            end: None,
        });
        held.out.set(held.out.get() + 1);
        self.book.attempts.add();
        let route = self.clone();
        spawn_local(async move {
            let started = route.clock.now();
            let until = route.clock.instant_at(started + limit);
            let permit = || {
                let permit = route.guard.permit_attempt(&held, place, to)?;
                // From its first byte on it can't be sent again.
                if held.job.flows() {
                    route.inbox.push(move |balancer| balancer.body_not_replayable(number));
                }
                Some(permit)
            };
            let over = route.over(&held, until);
            let (closed, called_off) = (held.relay.closed(), called_off.notified());
            let attempt = route.pool.attempt(to, &held.job, over, closed, permit, called_off).await;
            if attempt.end == ConnectionEnd::CallerGone {
                route.left(&held);
            }
            // No server can be late with a request that has not come whole.
            let begun =
                if held.deadline.is_coming() { started } else { started.max(held.deadline.counts_from()) };
            route.attempt_ended(&held, place, server, attempt, route.clock.now() - begun);
        });
    }

    /// Waits until an attempt's time is over: its own, or what the job's last byte leaves it once that has come.
    async fn over(&self, held: &OpenRequest, until: Instant) {
        if held.deadline.is_coming() {
            tokio::select! {
                () = sleep_until(until) => return,
                () = held.whole.notified() => {}
            }
        }
        // Its last byte may have come between the choice of the attempt and its beginning, so nothing rings here for it.
        sleep_until(until.min(self.clock.instant_at(held.deadline.at()))).await;
    }

    fn attempt_ended(
        &self,
        held: &Rc<OpenRequest>,
        place: usize,
        server: Address,
        mut attempt: Attempt,
        took: f64,
    ) {
        // Its caller left in the middle of the body: the server is not to blame.
        if attempt.end == ConnectionEnd::BrokenBefore && !held.relay.is_open() {
            attempt.end = ConnectionEnd::CalledOffBefore;
        }
        if matches!(attempt.end, ConnectionEnd::NotSent | ConnectionEnd::CallerGone | ConnectionEnd::Withheld)
        {
            let to = discovery::decode_address(server);
            let line = || format!("request {} not sent to {to}: {:?}", text(held.job.id()), attempt.end);
            self.unsent.info(line);
        }
        held.attempts.borrow_mut()[place].end = Some(attempt.end);
        attempt.end.count(&self.book);
        held.out.set(held.out.get() - 1);
        if let Some(mut reply) = attempt.reply {
            // What flows counts as held to its last byte.
            if let Either::Right(flow) = &mut reply.body {
                self.book.flows.add();
                flow.keep(held.clone());
                flow.due(self.clock.instant_at(held.deadline.at()));
                flow.at_break(self.note_of_break(held));
            }
            held.relay.give(Answer::Served(Box::new(reply)));
        } else if attempt.end == ConnectionEnd::TurnedDown {
            held.relay.give(Answer::TurnedDown);
        }
        let (number, done) = (held.number, !held.relay.is_open());
        let ending = ConnectionEnd::ending(attempt.end);
        self.inbox.push(move |balancer| balancer.attempt_ended(number, place, ending, took, done));
        match attempt.report {
            Some(Ok(report)) => {
                self.inbox.push(move |balancer| balancer.probe_answered(server, true, &report, took));
            }
            Some(Err(problem)) => self.prober.drop_report(&problem),
            None => {}
        }
        self.forget(held);
    }

    /// Counts an answer that ends in its middle, and says why.
    fn note_of_break(&self, held: &OpenRequest) -> impl FnOnce(BodyError) + 'static {
        let (id, due, clock) = (text(held.job.id()).into_owned(), held.deadline.at(), self.clock);
        let (book, log) = (self.book.clone(), self.broken.clone());
        move |problem| {
            book.flows_broken.add();
            let behind = clock.now() - due;
            log.info(|| {
                format!(
                    "answer to request {id} ends in its middle, {behind:.0} ms behind its time: {problem:?}"
                )
            });
        }
    }

    /// Rounds, as long as the node runs: one once something came in or a wake is due, no two closer than `round`.
    pub async fn run_rounds(self: Rc<Self>, mut balancer: Balancer, settings: Rc<SharedSettings>) {
        let mut wake = NEVER_MS;
        loop {
            tokio::select! {
                () = self.inbox.bell.notified() => {}
                () = sleep_until(self.clock.instant_at(wake)) => {}
            }
            let now = self.clock.now();
            if wake <= now {
                wake = NEVER_MS;
            }
            let words = self.inbox.words.take();
            let feed = |balancer: &mut Balancer| {
                words.into_iter().for_each(|word| word(balancer));
                Ok::<(), Infallible>(())
            };
            let mut decisions = Decisions { route: &self, now, wake };
            let Ok(()) = balancer.round(now, feed, &mut decisions);
            wake = decisions.wake;
            self.book.rounds.add();
            sleep_until(self.clock.instant_at(now + settings.current().policy_settings.round_interval)).await;
        }
    }
}

/// Carries out what the module decides.
struct Decisions<'a> {
    route: &'a Rc<Dispatcher>,
    now: f64,
    wake: f64,
}

impl DecisionWriter for Decisions<'_> {
    fn attempt(&mut self, job: u32, server: Address, limit: f64) {
        self.route.attempt(job, server, limit);
    }

    fn cancel(&mut self, job: u32, attempt: u16) {
        if let Some(held) = self.route.held.borrow().get(&job)
            && let Some(sent) = held.attempts.borrow().get(usize::from(attempt))
        {
            sent.called_off.notify_one();
        }
    }

    fn reject(&mut self, job: u32, wait: f64) {
        self.route.answer(job, Answer::Rejected(wait));
    }

    fn fail(&mut self, job: u32) {
        self.route.answer(job, Answer::Failed);
    }

    fn probe(&mut self, server: Address) {
        spawn_local(self.route.prober.clone().probe(server, discovery::decode_address(server)));
    }

    fn wake_after(&mut self, delay: f64) {
        self.wake = self.wake.min(self.now + delay + ROUNDING);
    }

    fn watch_list(&mut self) {
        self.route.discovery.start_watch();
    }

    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}

#[cfg(test)]
mod tests;
