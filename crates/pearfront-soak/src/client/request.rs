//! Requests as clients draw them.

use crate::record::Effect;
use crate::role::ClientRole;
use crate::wish::{Wish, draw_length};
use rand::Rng;

/// Share of requests with a body.
const BODIES: f64 = 0.1;
/// Share of bodies in chunks, of those that come slowly, and of those that stop in their middle.
const CHUNKED: f64 = 0.3;
const SLOW_BODIES: f64 = 0.15;
const STALLING_BODIES: f64 = 0.05;
/// Share of clients that take a long answer slowly.
const SLOW_READERS: f64 = 0.15;

/// How a body comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    AtOnce,
    Slowly,
    /// Stops in its middle.
    Stalls,
}

#[derive(Debug, Clone)]
pub struct Request {
    pub id: String,
    pub effect: Effect,
    /// How long its client waits, ms.
    pub deadline: f64,
    /// Bytes of its body.
    pub length: usize,
    pub chunked: bool,
    pub pace: Pace,
    pub wish: Option<Wish>,
    pub reads_slowly: bool,
    /// When its client leaves early, ms.
    pub leaves: Option<f64>,
}

fn draw_id(chance: &mut impl Rng) -> String {
    format!("{:016x}", chance.random::<u64>())
}

impl Request {
    pub fn draw(chance: &mut impl Rng, role: &ClientRole) -> Self {
        let plain = Self::draw_plain(chance, role);
        let has_body = plain.effect != Effect::Idempotent && chance.random_bool(BODIES);
        let pace = match chance.random_range(0.0..1.0) {
            share if share < STALLING_BODIES => Pace::Stalls,
            share if share < STALLING_BODIES + SLOW_BODIES => Pace::Slowly,
            _ => Pace::AtOnce,
        };
        Self {
            length: if has_body { draw_length(chance) } else { 0 },
            chunked: has_body && chance.random_bool(CHUNKED),
            pace: if has_body { pace } else { Pace::AtOnce },
            wish: Wish::draw(chance),
            reads_slowly: chance.random_bool(SLOW_READERS),
            ..plain
        }
    }

    /// One without a body and with a short answer.
    pub fn draw_plain(chance: &mut impl Rng, role: &ClientRole) -> Self {
        let effect = match chance.random_range(0..3) {
            0 => Effect::Idempotent,
            1 => Effect::Keyed,
            _ => Effect::NonIdempotent,
        };
        let deadline = chance.random_range(role.deadlines.0..role.deadlines.1);
        let leaves = chance.random_bool(role.leaves).then(|| chance.random_range(0.0..deadline));
        Self {
            id: draw_id(chance),
            effect,
            deadline,
            length: 0,
            chunked: false,
            pace: Pace::AtOnce,
            wish: None,
            reads_slowly: false,
            leaves,
        }
    }

    /// Has another id from now on.
    pub fn renew(&mut self, chance: &mut impl Rng) {
        self.id = draw_id(chance);
    }

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
        let query = self.wish.map(|wish| wish.encode()).unwrap_or_default();
        let head = format!(
            "{method} /{class}/it{query} HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: {}\r\nX-Customer: acme\r\n\
             X-Expires-In: {:.3}\r\n{key}{framing}\r\n",
            self.id,
            self.deadline / 1000.0
        );
        head.into_bytes()
    }
}
