//! The requests of clients, drawn at random.

use crate::answer_spec::{AnswerSpec, draw_length};
use crate::record::Effect;
use crate::role::ClientRole;
use rand::Rng;

/// Share of requests with a body.
const BODY_SHARE: f64 = 0.1;
/// Shares of bodies that are chunked, that are sent slowly, and that stop half-way.
const CHUNKED_SHARE: f64 = 0.3;
const SLOW_BODY_SHARE: f64 = 0.15;
const STALLING_BODY_SHARE: f64 = 0.05;
/// Share of clients that read a long answer slowly.
const SLOW_READER_SHARE: f64 = 0.15;

/// How fast a body is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    AtOnce,
    Slowly,
    /// Stops half-way.
    Stalls,
}

/// One request.
#[derive(Debug, Clone)]
pub struct Request {
    pub id: String,
    pub effect: Effect,
    /// Its deadline, ms from its last byte.
    pub deadline: f64,
    /// Bytes of its body.
    pub length: usize,
    pub chunked: bool,
    pub pace: Pace,
    /// The answer that it asks for, if not the server's default.
    pub answer_spec: Option<AnswerSpec>,
    pub reads_slowly: bool,
    /// When its client disconnects early, ms from its last byte.
    pub disconnect_after_ms: Option<f64>,
}

fn draw_id(rng: &mut impl Rng) -> String {
    format!("{:016x}", rng.random::<u64>())
}

impl Request {
    /// Draws a request of any kind.
    pub fn draw(rng: &mut impl Rng, role: &ClientRole) -> Self {
        let plain = Self::draw_plain(rng, role);
        let has_body = plain.effect != Effect::Idempotent && rng.random_bool(BODY_SHARE);
        let pace = match rng.random_range(0.0..1.0) {
            share if share < STALLING_BODY_SHARE => Pace::Stalls,
            share if share < STALLING_BODY_SHARE + SLOW_BODY_SHARE => Pace::Slowly,
            _ => Pace::AtOnce,
        };
        Self {
            length: if has_body { draw_length(rng) } else { 0 },
            chunked: has_body && rng.random_bool(CHUNKED_SHARE),
            pace: if has_body { pace } else { Pace::AtOnce },
            answer_spec: AnswerSpec::draw(rng),
            reads_slowly: rng.random_bool(SLOW_READER_SHARE),
            ..plain
        }
    }

    /// Draws one without a body and with a short answer.
    pub fn draw_plain(rng: &mut impl Rng, role: &ClientRole) -> Self {
        let effect = match rng.random_range(0..3) {
            0 => Effect::Idempotent,
            1 => Effect::Keyed,
            _ => Effect::NonIdempotent,
        };
        let deadline = rng.random_range(role.deadlines.0..role.deadlines.1);
        let disconnect_after_ms =
            rng.random_bool(role.disconnect_share).then(|| rng.random_range(0.0..deadline));
        Self {
            id: draw_id(rng),
            effect,
            deadline,
            length: 0,
            chunked: false,
            pace: Pace::AtOnce,
            answer_spec: None,
            reads_slowly: false,
            disconnect_after_ms,
        }
    }

    /// Gives it another id, to be sent again.
    pub fn renew_id(&mut self, rng: &mut impl Rng) {
        self.id = draw_id(rng);
    }

    /// Its head, as it is written.
    pub fn head(&self) -> Vec<u8> {
        let (method, class, key) = match self.effect {
            Effect::Idempotent => ("GET", "read", String::new()),
            Effect::Keyed => ("POST", "book", format!("Idempotency-Key: {}\r\n", self.id)),
            Effect::NonIdempotent => ("POST", "pay", String::new()),
        };
        let framing = match self.effect {
            Effect::Idempotent => String::new(),
            _ if self.chunked => "Transfer-Encoding: chunked\r\n".to_string(),
            _ => format!("Content-Length: {}\r\n", self.length),
        };
        let query = self.answer_spec.map(|answer_spec| answer_spec.encode()).unwrap_or_default();
        let head = format!(
            "{method} /{class}/it{query} HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: {}\r\nX-Customer: acme\r\n\
             X-Expires-In: {:.3}\r\n{key}{framing}\r\n",
            self.id,
            self.deadline / 1000.0
        );
        head.into_bytes()
    }
}
