//! The answer that a client requests of a server: its form and length. They travel in the query of the request, which nodes
//! forward unchanged. Drawn by clients, decoded by servers.

use crate::http::Message;
use rand::Rng;
use std::ops::RangeInclusive;

/// Share of requests that ask for an answer of a certain form.
const SPEC_SHARE: f64 = 0.06;
/// Longest and shortest answer or body that is drawn, bytes.
const MAX_LENGTH_BYTES: usize = 32 * 1024 * 1024;
const MIN_LENGTH_BYTES: f64 = 1000.0;
/// Lengths of a body, bytes, of which the kernels on the way buffer a part, so that a node does not see the end of the body
/// while the receiver does not read it. `KERNEL_BUFFERED_SHARE` of the lengths are drawn from this range.
const KERNEL_BUFFERED_BYTES: RangeInclusive<usize> = 2 * 1024 * 1024..=8 * 1024 * 1024;
const KERNEL_BUFFERED_SHARE: f64 = 0.25;
/// Longest answer, bytes, that a node buffers whole; it streams longer ones.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// How an answer is framed and sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerForm {
    Length,
    Chunked,
    /// Its body extends to the end of the connection.
    UntilEnd,
    /// Stops half-way, with the connection left open.
    Stalls,
    /// Its second half comes in small blocks with pauses.
    Trickles,
    /// Goes on in small blocks without end.
    Endless,
    /// Begins after a delay.
    Late,
}

const ANSWER_FORMS: [(AnswerForm, &str); 7] = [
    (AnswerForm::Length, "length"),
    (AnswerForm::Chunked, "chunked"),
    (AnswerForm::UntilEnd, "until-end"),
    (AnswerForm::Stalls, "stalls"),
    (AnswerForm::Trickles, "drips"),
    (AnswerForm::Endless, "endless"),
    (AnswerForm::Late, "late"),
];

/// The form and length of the answer that a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerSpec {
    pub form: AnswerForm,
    pub length: usize,
}

/// Draws a length in bytes: of any order of magnitude, or one of which the kernels buffer a part.
pub fn draw_length(rng: &mut impl Rng) -> usize {
    if rng.random_bool(KERNEL_BUFFERED_SHARE) {
        return rng.random_range(KERNEL_BUFFERED_BYTES);
    }
    let magnitude = rng.random_range(0.0..1.0);
    (MIN_LENGTH_BYTES * (MAX_LENGTH_BYTES as f64 / MIN_LENGTH_BYTES).powf(magnitude)) as usize
}

impl AnswerSpec {
    /// Draws the answer that a request asks for; `None` for the server's default.
    pub fn draw(rng: &mut impl Rng) -> Option<Self> {
        rng.random_bool(SPEC_SHARE).then(|| {
            let (form, _) = ANSWER_FORMS[rng.random_range(0..ANSWER_FORMS.len())];
            Self { form, length: draw_length(rng) }
        })
    }

    /// The query that carries it.
    pub fn encode(&self) -> String {
        let name = ANSWER_FORMS.iter().find(|(form, _)| *form == self.form).expect("each has a name").1;
        format!("?answer={}&form={name}", self.length)
    }

    /// Reads it from a request's query, if there is one.
    pub fn decode(request: &Message) -> Option<Self> {
        let length = request.query("answer")? as usize;
        let named = request.query_text("form")?;
        let form = ANSWER_FORMS.iter().find(|(_, name)| *name == named)?.0;
        Some(Self { form, length })
    }
}
