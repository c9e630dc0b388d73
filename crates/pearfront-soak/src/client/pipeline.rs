//! Requests that are pipelined behind one with a slow answer, which begins late, stops half-way or trickles.

use super::exchange::{CLOSE_RACE_MS, Outcome, Sent};
use super::request::Request;
use super::{Client, Opened};
use crate::answer_spec::{AnswerForm, AnswerSpec};
use crate::clock;
use crate::http::{Connection, End};
use crate::record::{Pipeline, Record};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::cell::RefCell;
use std::ops::{Range, RangeInclusive};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Number of requests behind the first one.
pub const FOLLOWERS: RangeInclusive<usize> = 1..=3;
/// Forms of the first one's answer, and its length, bytes: more than a node buffers.
const SLOW_ANSWER_FORMS: [AnswerForm; 4] =
    [AnswerForm::Late, AnswerForm::Stalls, AnswerForm::Trickles, AnswerForm::Endless];
const SLOW_LENGTH: RangeInclusive<usize> = 100_000..=300_000;
/// Share of pipelines that are sent in one write, and the pause after each write, ms.
const SINGLE_WRITE_SHARE: f64 = 0.3;
const WRITE_PAUSE_MS: Range<u64> = 0..300;
/// The requests behind have deadlines from this lowest part of the clients' range, the first one from the highest part.
const SHORT_DEADLINE_SHARE: f64 = 0.2;

/// The requests of a pipeline that have been written, and when.
type Written = Rc<RefCell<Vec<(Request, f64)>>>;

impl Client {
    /// Sends a request with a slow answer and a long deadline, and requests with short deadlines behind it.
    pub(super) async fn send_pipeline(self: Rc<Self>, node: usize) {
        let Some(Opened { mut connection, new_connection }) = self.open(node).await else { return };
        let Some(writer) = connection.writer() else { return };
        let pipeline = self.draw_pipeline();
        let written = Written::default();
        let writing =
            spawn_local(self.clone().write_pipeline(node, pipeline, writer, new_connection, written.clone()));
        let mut answered = 0;
        loop {
            let next = written.borrow().get(answered).cloned();
            let Some((request, at)) = next else {
                if writing.is_finished() {
                    break;
                }
                sleep(Duration::from_millis(1)).await;
                continue;
            };
            let sent = Sent { at, new_connection: new_connection && answered == 0 };
            answered += 1;
            if !matches!(self.read_answer(&request, &mut connection, sent).await, Outcome::Answered { .. }) {
                break;
            }
        }
        writing.abort();
        let _ = writing.await;
        // If an answer never ended, the requests behind it are not answered either.
        if let Some(end) = connection.end() {
            written.borrow()[answered..]
                .iter()
                .for_each(|(request, at)| self.record_unanswered_follower(request, *at, end));
        }
    }

    /// Records that the connection ended before this request, written at `written` behind others, was answered.
    fn record_unanswered_follower(&self, request: &Request, written: f64, end: End) {
        let (id, at, reset) = (request.id.clone(), clock::now(), end == End::Reset);
        self.recorder.write(&Record::Unanswered { id, at, close_raced: at - written < CLOSE_RACE_MS, reset });
    }

    fn draw_pipeline(&self) -> Vec<Request> {
        let rng = &mut *self.rng.borrow_mut();
        let (shortest, longest) = self.role.deadlines;
        let short = (longest - shortest) * SHORT_DEADLINE_SHARE;
        let form = *SLOW_ANSWER_FORMS.choose(rng).expect("some");
        let slow = AnswerSpec { form, length: rng.random_range(SLOW_LENGTH) };
        let mut pipeline = vec![self.draw_pipelined(rng, longest - short..longest, Some(slow))];
        let followers = rng.random_range(FOLLOWERS);
        pipeline.extend((0..followers).map(|_| self.draw_pipelined(rng, shortest..shortest + short, None)));
        pipeline
    }

    fn draw_pipelined(
        &self,
        rng: &mut impl Rng,
        deadlines: Range<f64>,
        answer_spec: Option<AnswerSpec>,
    ) -> Request {
        let plain = Request::draw_plain(rng, &self.role);
        Request { deadline: rng.random_range(deadlines), answer_spec, disconnect_after_ms: None, ..plain }
    }

    /// Writes the requests one after the other or all at once, and records each one that was written.
    async fn write_pipeline(
        self: Rc<Self>,
        node: usize,
        pipeline: Vec<Request>,
        mut writer: Connection,
        new_connection: bool,
        written: Written,
    ) {
        let single_write = self.happens(SINGLE_WRITE_SHARE);
        let writes: Vec<Vec<Request>> = if single_write {
            vec![pipeline]
        } else {
            pipeline.into_iter().map(|request| vec![request]).collect()
        };
        let mut first = None;
        for requests in writes {
            let bytes: Vec<u8> = requests.iter().flat_map(Request::head).collect();
            let began = clock::now();
            if writer.write(&bytes).await.is_err() {
                return;
            }
            let at = clock::now();
            for request in requests {
                let first_id = first.get_or_insert_with(|| request.id.clone()).clone();
                let is_first = first_id == request.id;
                self.recorder.write(&Record::Request {
                    id: request.id.clone(),
                    node,
                    effect: request.effect,
                    began,
                    at,
                    deadline: request.deadline,
                    new_connection: new_connection && is_first,
                    pipeline: Some(Pipeline { first: first_id, single_write }),
                });
                written.borrow_mut().push((request, at));
            }
            let pause = self.rng.borrow_mut().random_range(WRITE_PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }
    }
}
