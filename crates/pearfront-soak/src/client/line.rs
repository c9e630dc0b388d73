//! Requests that lie on one connection behind one whose answer takes long: it comes late, stops in its middle or drips.

use super::exchange::{CROSSED, Ended, Sent};
use super::request::Request;
use super::{Client, Opened};
use crate::clock;
use crate::http::{Connection, End};
use crate::record::{Line, Record};
use crate::wish::{Form, Wish};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::cell::RefCell;
use std::ops::{Range, RangeInclusive};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Requests behind the first one.
pub const BEHIND: RangeInclusive<usize> = 1..=3;
/// What the first one's answer is like, and its length, bytes: more than a node keeps whole.
const SLOW_FORMS: [Form; 4] = [Form::Late, Form::Stalls, Form::Drips, Form::Endless];
const SLOW_LENGTH: RangeInclusive<usize> = 100_000..=300_000;
/// Share of lines that come in one write, and the pause before each request of the others, ms.
const ONE_WRITE: f64 = 0.3;
const PAUSE_MS: Range<u64> = 0..300;
/// How much of the clients' range of deadlines a request behind has, and where the first one's begins.
const SHORT_SHARE: f64 = 0.2;

/// What has been written of a line.
type Written = Rc<RefCell<Vec<(Request, f64)>>>;

impl Client {
    /// A request with a slow answer and a long time, and others with a short time behind it.
    pub(super) async fn ask_in_line(self: Rc<Self>, node: usize) {
        let Some(Opened { mut connection, fresh }) = self.open(node).await else { return };
        let Some(writer) = connection.writer() else { return };
        let line = self.draw_line();
        let written = Written::default();
        let writing = spawn_local(self.clone().write_line(node, line, writer, fresh, written.clone()));
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
            let sent = Sent { at, fresh: fresh && answered == 0 };
            answered += 1;
            if !matches!(self.take(&request, &mut connection, sent).await, Ended::Answered { .. }) {
                break;
            }
        }
        writing.abort();
        let _ = writing.await;
        // Where the answer before them never ended, those behind it are never answered either.
        if let Some(end) = connection.end() {
            written.borrow()[answered..]
                .iter()
                .for_each(|(request, at)| self.unanswered_behind(request, *at, end));
        }
    }

    /// The connection has ended before this one was answered that was written then, behind others.
    fn unanswered_behind(&self, request: &Request, written: f64, end: End) {
        let (id, at, reset) = (request.id.clone(), clock::now(), end == End::Reset);
        self.recorder.write(&Record::Unanswered { id, at, crossed: at - written < CROSSED, reset });
    }

    fn draw_line(&self) -> Vec<Request> {
        let chance = &mut *self.chance.borrow_mut();
        let (shortest, longest) = self.role.deadlines;
        let short = (longest - shortest) * SHORT_SHARE;
        let form = *SLOW_FORMS.choose(chance).expect("some");
        let slow = Wish { form, length: chance.random_range(SLOW_LENGTH) };
        let mut line = vec![self.draw_one(chance, longest - short..longest, Some(slow))];
        let behind = chance.random_range(BEHIND);
        line.extend((0..behind).map(|_| self.draw_one(chance, shortest..shortest + short, None)));
        line
    }

    fn draw_one(&self, chance: &mut impl Rng, deadlines: Range<f64>, wish: Option<Wish>) -> Request {
        let plain = Request::draw_plain(chance, &self.role);
        Request { deadline: chance.random_range(deadlines), wish, leaves: None, ..plain }
    }

    /// Writes the requests one after the other, or all at once, and what has been written in the records.
    async fn write_line(
        self: Rc<Self>,
        node: usize,
        line: Vec<Request>,
        mut writer: Connection,
        fresh: bool,
        written: Written,
    ) {
        let together = self.happens(ONE_WRITE);
        let writes: Vec<Vec<Request>> =
            if together { vec![line] } else { line.into_iter().map(|one| vec![one]).collect() };
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
                    fresh: fresh && is_first,
                    line: Some(Line { first: first_id, together }),
                });
                written.borrow_mut().push((request, at));
            }
            let pause = self.chance.borrow_mut().random_range(PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }
    }
}
