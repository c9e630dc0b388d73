//! Drives the decision module. Events for the module wait in a queue for the next round, and its
//! decisions are carried out from here. Used by `client_service`; other modules push events.

mod decisions;
mod event_queue;
mod open_request;

use crate::answer_sender::AnswerSender;
use crate::capacity::RequestReservation;
use crate::clock::{Clock, NEVER_MS};
use crate::connection_pool::{Attempt, ConnectionEnd, ConnectionPool};
use crate::counters::Counters;
use crate::deadline::{self, Deadline};
use crate::discovery::{self, Discovery};
use crate::guard::Guard;
use crate::handover::Peers;
use crate::logger::InfoLimiter;
use crate::memory::Purpose;
use crate::message::{Answer, ClientRequest};
use crate::probe::Prober;
use crate::runtime_settings::SharedSettings;
use crate::streaming::BrokenBody;
use crate::tracked_stream::TrackedStream;
use decisions::Decisions;
pub use event_queue::EventQueue;
use http_body_util::Either;
pub use open_request::OpenRequest;
use open_request::{AttemptRecord, id_text};
use pearfront::interface::Address;
use pearfront::policy::Balancer;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::pending;
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// Log lines per second about requests that were refused, repeated or not sent.
const LOG_LINES_PER_SECOND: u32 = 10;

/// Longest time for which the id of a request is kept whose client has left, ms, and bytes that this takes beside the id.
const MAX_ID_RETENTION_MS: f64 = 3000.0;
const KEPT_ID_BYTES: usize = 512;

/// Holds the open requests, passes events to the decision module and carries out its decisions.
pub struct Dispatcher {
    pub clock: Clock,
    pub events: Rc<EventQueue>,
    pool: Rc<ConnectionPool>,
    discovery: Rc<Discovery>,
    pub guard: Rc<Guard>,
    prober: Rc<Prober>,
    counters: Rc<Counters>,
    open_requests: RefCell<HashMap<u32, Rc<OpenRequest>>>,
    /// The other processes of this node, and the ids of the requests open here.
    peers: Rc<Peers>,
    next_number: Cell<u32>,
    refused_log: InfoLimiter,
    repeated_log: InfoLimiter,
    unsent_log: InfoLimiter,
    broken_log: Rc<InfoLimiter>,
}

impl Dispatcher {
    pub fn new(
        clock: Clock,
        events: Rc<EventQueue>,
        pool: Rc<ConnectionPool>,
        discovery: Rc<Discovery>,
        prober: Rc<Prober>,
        counters: Rc<Counters>,
        peers: Rc<Peers>,
    ) -> Rc<Self> {
        let guard = prober.guard.clone();
        let (open_requests, next_number) = (RefCell::default(), Cell::new(0));
        let limited = || InfoLimiter::new(LOG_LINES_PER_SECOND);
        let (refused_log, repeated_log, unsent_log) = (limited(), limited(), limited());
        Rc::new(Self {
            clock,
            events,
            pool,
            discovery,
            guard,
            prober,
            counters,
            open_requests,
            peers,
            next_number,
            refused_log,
            repeated_log,
            unsent_log,
            broken_log: Rc::new(limited()),
        })
    }

    /// Whether another request with the same id is open, whoever sent it, here or in another
    /// process of this node.
    pub fn has_open_request(&self, request: &ClientRequest) -> bool {
        self.peers.has_open_request(&id_text(request.id()))
    }

    /// Accepts a request; the receiver gets its answer in any case. While the body is still
    /// arriving, the decision module knows no deadline yet.
    pub fn accept(
        &self,
        stream: &Rc<TrackedStream>,
        request: ClientRequest,
        deadline: Deadline,
        reservation: RequestReservation,
    ) -> (Rc<OpenRequest>, oneshot::Receiver<Answer>) {
        let (sender, answer) = AnswerSender::new(self.counters.clone());
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let (settings, profile, customer) = (request.settings.clone(), request.profile, request.customer);
        let limit = if request.is_streamed() { f64::INFINITY } else { deadline.at() };
        let open = Rc::new(OpenRequest {
            number,
            request,
            deadline,
            completed: Notify::new(),
            client_left: Cell::new(false),
            answer: sender,
            stream: Rc::downgrade(stream),
            attempts: RefCell::default(),
            attempts_running: Cell::new(0),
            _reservation: reservation,
        });
        self.peers.request_opened(id_text(open.request.id()).into());
        self.open_requests.borrow_mut().insert(number, open.clone());
        self.counters.taken.add();
        self.events.push(move |balancer| {
            balancer.request_received_under(&settings.policy_settings, number, profile, customer, limit)
        });
        (open, answer)
    }

    /// The deadline of the request that was read last on this connection; its client waits for
    /// `time_ms` ms.
    pub fn deadline(&self, time_ms: f64, stream: &Rc<TrackedStream>) -> Deadline {
        Deadline::new(self.clock, self.discovery.stall_monitor(), time_ms, stream)
    }

    /// When the last process stall began, ms, if it has just ended and the data that arrived
    /// meanwhile may not have been read yet.
    pub fn stall_began(&self) -> Option<f64> {
        self.discovery.stall_monitor().stall_began(self.clock.now())
    }

    /// Waits until an answer under way to this client has to end because the answer to a pipelined
    /// request is due.
    pub async fn pipelined_answer_is_due(&self, client: &Rc<TrackedStream>) {
        deadline::pipelined_answer_is_due(self.clock, &self.discovery.stall_monitor(), client).await;
    }

    /// The last byte of a request has arrived: its deadline runs from now on.
    pub fn body_complete(&self, open: &OpenRequest) {
        let number = open.number;
        open.deadline.body_complete();
        let limit = open.deadline.at();
        open.completed.notify_waiters();
        self.events.push(move |balancer| balancer.body_received(number, limit));
    }

    /// The client of a request has left, if it had no answer yet.
    pub fn client_left(&self, open: &OpenRequest) {
        if open.answer.close() {
            open.client_left.set(true);
            self.counters.client_left.add();
            let number = open.number;
            self.events.push(move |balancer| balancer.client_left(number));
            self.remove_if_done(open);
        }
    }

    /// Answers the request at its deadline if nobody else has, whatever it waits for; never
    /// returns.
    pub async fn expire(&self, open: &OpenRequest) -> Infallible {
        open.deadline.wait_until_due().await;
        let why = open.deadline.expiry_reason();
        self.give_up(open, why);
        pending().await
    }

    /// The same for all open requests, as the process exits.
    pub fn expire_all(&self) {
        let open: Vec<_> = self.open_requests.borrow().values().cloned().collect();
        open.iter().for_each(|open| self.give_up(open, "the process ends"));
    }

    /// Gives up the request, if it has no answer yet, for the given reason.
    pub fn give_up(&self, open: &OpenRequest, why: &str) {
        if !open.answer.is_open() {
            return;
        }
        self.counters.expired.add();
        let line = || format!("request {} expired, {why}: {}", id_text(open.request.id()), open.history());
        self.refused_log.info(line);
        open.answer.send(if open.is_unsent() { Answer::Rejected(0.0) } else { Answer::Failed });
        let number = open.number;
        self.events.push(move |balancer| balancer.client_left(number));
        self.remove_if_done(open);
    }

    fn answer(&self, number: u32, answer: Answer) {
        let open = self.open_requests.borrow().get(&number).cloned();
        if let Some(open) = open {
            if matches!(answer, Answer::Rejected(_) | Answer::Failed) {
                let how = if matches!(answer, Answer::Failed) { "failed" } else { "rejected" };
                let left = open.time_left(self.clock.now());
                let line = || {
                    format!(
                        "request {} {how}, {left:.0} ms left: {}",
                        id_text(open.request.id()),
                        open.history()
                    )
                };
                self.refused_log.info(line);
            }
            open.answer.send(answer);
            self.remove_if_done(&open);
        }
    }

    /// Drops a request that is answered and has no attempt under way.
    fn remove_if_done(&self, open: &OpenRequest) {
        if open.attempts_running.get() == 0 && !open.answer.is_open() {
            self.open_requests.borrow_mut().remove(&open.number);
            if open.client_left.get() && !open.is_unsent() {
                self.close_at_deadline(open);
            } else {
                self.peers.request_closed(&id_text(open.request.id()));
            }
        }
    }

    /// A server may still run the request: another one with its id is refused until its deadline, if there is memory to know
    /// it.
    fn close_at_deadline(&self, open: &OpenRequest) {
        let (peers, id) = (self.peers.clone(), id_text(open.request.id()).into_owned());
        let Some(memory) = peers.capacity.reserve(Purpose::Request, KEPT_ID_BYTES + 2 * id.len()) else {
            return peers.request_closed(&id);
        };
        let latest = self.clock.now() + MAX_ID_RETENTION_MS;
        let until = self.clock.instant_at(open.deadline.at().min(latest));
        spawn_local(async move {
            sleep_until(until).await;
            peers.request_closed(&id);
            drop(memory);
        });
    }

    /// Starts an attempt of the request on the server; it may take `limit` ms.
    fn attempt(self: &Rc<Self>, number: u32, server: Address, limit: f64) {
        let Some(open) = self.open_requests.borrow().get(&number).cloned() else { return };
        let called_off = Rc::new(Notify::new());
        let index = open.attempts.borrow().len();
        let to = discovery::decode_address(server);
        if index > 0 {
            let line =
                || format!("request {} sent again, to {to}: {}", id_text(open.request.id()), open.history());
            self.repeated_log.info(line);
        }
        open.attempts.borrow_mut().push(AttemptRecord {
            server: to,
            server_location: self.discovery.location_of(to),
            written_at: None,
            called_off: called_off.clone(),
            end: None,
        });
        open.attempts_running.set(open.attempts_running.get() + 1);
        self.counters.attempts.add();
        let dispatcher = self.clone();
        spawn_local(async move {
            let started = dispatcher.clock.now();
            let until = dispatcher.clock.instant_at(started + limit);
            let permit = || {
                let permit = dispatcher.guard.permit_attempt(&open, index, to)?;
                // Once its first byte is written it cannot be sent again.
                if open.request.is_streamed() {
                    dispatcher.events.push(move |balancer| balancer.body_not_replayable(number));
                }
                Some(permit)
            };
            let timeout = dispatcher.attempt_timeout(&open, until);
            let (closed, called_off) = (open.answer.closed(), called_off.notified());
            let attempt =
                dispatcher.pool.attempt(to, &open.request, timeout, closed, permit, called_off).await;
            if attempt.end == ConnectionEnd::CallerGone {
                dispatcher.client_left(&open);
            }
            // A server cannot be blamed for delay while the request is incomplete.
            let began =
                if open.deadline.is_incomplete() { started } else { started.max(open.deadline.starts_at()) };
            dispatcher.attempt_ended(&open, index, server, attempt, dispatcher.clock.now() - began);
        });
    }

    /// Waits until an attempt times out: at its own limit, or at the deadline of the request once
    /// its last byte has arrived.
    async fn attempt_timeout(&self, open: &OpenRequest, until: Instant) {
        if open.deadline.is_incomplete() {
            tokio::select! {
                () = sleep_until(until) => return,
                () = open.completed.notified() => {}
            }
        }
        // The last byte may have arrived between the decision for the attempt and its start, so
        // there may be no notification.
        sleep_until(until.min(self.clock.instant_at(open.deadline.at()))).await;
    }

    fn attempt_ended(
        &self,
        open: &Rc<OpenRequest>,
        index: usize,
        server: Address,
        mut attempt: Attempt,
        duration: f64,
    ) {
        // The client left in the middle of the body, so the server is not to blame.
        if attempt.end == ConnectionEnd::BrokenBefore && !open.answer.is_open() {
            attempt.end = ConnectionEnd::CalledOffBefore;
        }
        if matches!(attempt.end, ConnectionEnd::NotSent | ConnectionEnd::CallerGone | ConnectionEnd::Withheld)
        {
            let to = discovery::decode_address(server);
            let line =
                || format!("request {} not sent to {to}: {:?}", id_text(open.request.id()), attempt.end);
            self.unsent_log.info(line);
        }
        open.attempts.borrow_mut()[index].end = Some(attempt.end);
        attempt.end.count(&self.counters);
        open.attempts_running.set(open.attempts_running.get() - 1);
        if let Some(mut reply) = attempt.reply {
            // A request whose answer is being streamed counts as open until the last byte.
            if let Either::Right(streamed) = &mut reply.body {
                self.counters.flows.add();
                streamed.keep_alive(open.clone());
                streamed.on_break(self.break_callback(open));
            }
            open.answer.send(Answer::Served(Box::new(reply)));
        } else if attempt.end == ConnectionEnd::TurnedDown {
            open.answer.send(Answer::TurnedDown);
        }
        let (number, done) = (open.number, !open.answer.is_open());
        let ending = ConnectionEnd::ending(attempt.end);
        self.events.push(move |balancer| balancer.attempt_ended(number, index, ending, duration, done));
        match attempt.report {
            Some(Ok(report)) => {
                self.events.push(move |balancer| balancer.probe_answered(server, true, &report, duration));
            }
            Some(Err(problem)) => self.prober.drop_report(&problem),
            None => {}
        }
        self.remove_if_done(open);
    }

    /// Counts and logs an answer that is broken off.
    fn break_callback(&self, open: &OpenRequest) -> impl FnOnce(BrokenBody) + 'static {
        let (id, due, clock) = (id_text(open.request.id()).into_owned(), open.deadline.at(), self.clock);
        let (counters, log) = (self.counters.clone(), self.broken_log.clone());
        move |broken| {
            counters.flows_broken.add();
            let late = clock.now() - due;
            log.info(|| {
                format!(
                    "answer to request {id} ends in its middle, {late:.0} ms after its deadline: {:?}, {} bytes passed on, its server silent for {} ms",
                    broken.error,
                    broken.bytes_passed,
                    broken.silent_for.as_millis()
                )
            });
        }
    }

    /// Runs rounds as long as the node: one whenever an event arrives or a wake-up is due, at least
    /// `round` apart.
    pub async fn run_rounds(self: Rc<Self>, mut balancer: Balancer, settings: Rc<SharedSettings>) {
        let mut wake = NEVER_MS;
        loop {
            tokio::select! {
                () = self.events.pushed.notified() => {}
                () = sleep_until(self.clock.instant_at(wake)) => {}
            }
            let now = self.clock.now();
            if wake <= now {
                wake = NEVER_MS;
            }
            let events = self.events.queued.take();
            let feed = |balancer: &mut Balancer| {
                events.into_iter().for_each(|event| event(balancer));
                Ok::<(), Infallible>(())
            };
            let mut decisions = Decisions { dispatcher: &self, now, wake };
            let Ok(()) = balancer.round(now, feed, &mut decisions);
            wake = decisions.wake;
            self.counters.rounds.add();
            sleep_until(self.clock.instant_at(now + settings.current().policy_settings.round_interval)).await;
        }
    }
}

#[cfg(test)]
mod tests;
