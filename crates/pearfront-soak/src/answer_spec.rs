//! What kind of answer a client wants of a server: it stands in the request's query, which nodes pass on unchanged.

use crate::http::Message;
use rand::Rng;
use std::ops::RangeInclusive;

/// Share of requests with a wish of their own.
const SPEC_SHARE: f64 = 0.06;
/// Longest answer or body, bytes, and the shortest that is drawn.
const MAX_LENGTH_BYTES: usize = 32 * 1024 * 1024;
const MIN_LENGTH_BYTES: f64 = 1000.0;
/// The kernels on the way keep a body of this length, and a node does not see its end while it is not taken.
const KERNEL_BUFFERED_BYTES: RangeInclusive<usize> = 2 * 1024 * 1024..=8 * 1024 * 1024;
const KERNEL_BUFFERED_SHARE: f64 = 0.25;
/// Most bytes that a node keeps whole.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// What an answer looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerForm {
    Length,
    Chunked,
    /// Ends with its connection.
    UntilEnd,
    /// Stops in its middle, its connection open.
    Stalls,
    /// Its second half comes drop by drop.
    Trickles,
    /// Goes on drop by drop for ever.
    Endless,
    /// Begins late.
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

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerSpec {
    pub form: AnswerForm,
    pub length: usize,
}

/// A length, bytes: of any order of magnitude, or one of which the kernels keep a part.
pub fn draw_length(rng: &mut impl Rng) -> usize {
    if rng.random_bool(KERNEL_BUFFERED_SHARE) {
        return rng.random_range(KERNEL_BUFFERED_BYTES);
    }
    let magnitude = rng.random_range(0.0..1.0);
    (MIN_LENGTH_BYTES * (MAX_LENGTH_BYTES as f64 / MIN_LENGTH_BYTES).powf(magnitude)) as usize
}

impl AnswerSpec {
    /// What a request wants, if anything in particular.
    pub fn draw(rng: &mut impl Rng) -> Option<Self> {
        rng.random_bool(SPEC_SHARE).then(|| {
            let (form, _) = ANSWER_FORMS[rng.random_range(0..ANSWER_FORMS.len())];
            Self { form, length: draw_length(rng) }
        })
    }

    pub fn encode(&self) -> String {
        let name = ANSWER_FORMS.iter().find(|(form, _)| *form == self.form).expect("each has a name").1;
        format!("?answer={}&form={name}", self.length)
    }

    pub fn decode(request: &Message) -> Option<Self> {
        let length = request.query("answer")? as usize;
        let named = request.query_text("form")?;
        let form = ANSWER_FORMS.iter().find(|(_, name)| *name == named)?.0;
        Some(Self { form, length })
    }
}
