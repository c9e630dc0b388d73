//! What kind of answer a client wants of a server: it stands in the request's query, which nodes pass on unchanged.

use crate::http::Message;
use rand::Rng;
use std::ops::RangeInclusive;

/// Share of requests with a wish of their own.
const SHARE: f64 = 0.06;
/// Longest answer or body, bytes, and the shortest that is drawn.
const LONGEST: usize = 32 * 1024 * 1024;
const SHORTEST: f64 = 1000.0;
/// The kernels on the way keep a body of this length, and a node does not see its end while it is not taken.
const UNSEEN: RangeInclusive<usize> = 2 * 1024 * 1024..=8 * 1024 * 1024;
const VERY_LONG: f64 = 0.25;
/// Most bytes that a node keeps whole.
pub const KEPT_WHOLE: usize = 64 * 1024;

/// What an answer looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    Length,
    Chunked,
    /// Ends with its connection.
    UntilEnd,
    /// Stops in its middle, its connection open.
    Stalls,
    /// Its second half comes drop by drop.
    Drips,
    /// Goes on drop by drop for ever.
    Endless,
    /// Begins late.
    Late,
}

const FORMS: [(Form, &str); 7] = [
    (Form::Length, "length"),
    (Form::Chunked, "chunked"),
    (Form::UntilEnd, "until-end"),
    (Form::Stalls, "stalls"),
    (Form::Drips, "drips"),
    (Form::Endless, "endless"),
    (Form::Late, "late"),
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wish {
    pub form: Form,
    pub length: usize,
}

/// A length, bytes: of any order of magnitude, or one of which the kernels keep a part.
pub fn draw_length(chance: &mut impl Rng) -> usize {
    if chance.random_bool(VERY_LONG) {
        return chance.random_range(UNSEEN);
    }
    let magnitude = chance.random_range(0.0..1.0);
    (SHORTEST * (LONGEST as f64 / SHORTEST).powf(magnitude)) as usize
}

impl Wish {
    /// What a request wants, if anything in particular.
    pub fn draw(chance: &mut impl Rng) -> Option<Self> {
        chance.random_bool(SHARE).then(|| {
            let (form, _) = FORMS[chance.random_range(0..FORMS.len())];
            Self { form, length: draw_length(chance) }
        })
    }

    pub fn encode(&self) -> String {
        let name = FORMS.iter().find(|(form, _)| *form == self.form).expect("each has a name").1;
        format!("?answer={}&form={name}", self.length)
    }

    pub fn decode(request: &Message) -> Option<Self> {
        let length = request.query("answer")? as usize;
        let named = request.query_text("form")?;
        let form = FORMS.iter().find(|(_, name)| *name == named)?.0;
        Some(Self { form, length })
    }
}
