//! From a file's text to what it describes, or to the first mistake with its key and line.

use serde::de::DeserializeOwned;

/// A mistake in a scenario file: which key, at which line, and what is wrong with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mistake {
    pub key: String,
    pub line: usize,
    pub what: String,
}

impl std::fmt::Display for Mistake {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(to, "line {}: {}: {}", self.line, self.key, self.what)
    }
}

/// Words of scenario files that have been renamed: what is told beside the parser's own word.
const RENAMED: [(&str, &str); 6] = [
    ("most_shots", "most_attempts"),
    ("contract_ms", "latency_target_ms"),
    ("limit_ms", "deadline_ms"),
    ("redoable", "idempotent"),
    ("labelled", "keyed"),
    ("irreversible", "non-idempotent"),
];

/// What the parser says, and the new name where an old one stands there.
fn with_new_name(what: String) -> String {
    let unknown = |old: &str| {
        what.starts_with(&format!("unknown field `{old}`"))
            || what.starts_with(&format!("unknown variant `{old}`"))
    };
    match RENAMED.iter().find(|(old, _)| unknown(old)) {
        Some((old, new)) => format!("`{old}` is `{new}` now"),
        None => what,
    }
}

/// Reads and checks a file's text; the first mistake is told with its key and line.
pub(crate) fn read<T: DeserializeOwned>(
    text: &str,
    check: impl Fn(&T) -> Result<(), (String, String)>,
) -> Result<T, Mistake> {
    let line_at = |at: usize| 1 + text[..at.min(text.len())].matches('\n').count();
    let mistake = |path: String, error: &toml::de::Error| Mistake {
        key: if path == "." { "file".into() } else { path },
        line: error.span().map_or(1, |span| line_at(span.start)),
        what: with_new_name(error.message().replace('\n', ", ")),
    };
    let reader = toml::Deserializer::parse(text).map_err(|error| mistake("file".into(), &error))?;
    let scenario: T = serde_path_to_error::deserialize(reader)
        .map_err(|error| mistake(error.path().to_string(), error.inner()))?;
    check(&scenario).map_err(|(key, what)| {
        let line = place(text, &key).map_or(1, line_at);
        Mistake { key, line, what }
    })?;
    Ok(scenario)
}

/// Where a key as `tiers[0].server.queue` stands in the text; the nearest one above it if it is not there itself.
fn place(text: &str, key: &str) -> Option<usize> {
    use toml::de::{DeTable, DeValue};
    let top = DeTable::parse(text).ok()?;
    let mut at = None;
    let mut value: Option<&DeValue> = None;
    for name in key.split(['.', '[', ']']).filter(|name| !name.is_empty()) {
        let next = match (value, name.parse::<usize>()) {
            (Some(DeValue::Array(list)), Ok(place)) => list.get(place),
            (Some(DeValue::Table(table)), _) => table.get(name),
            (None, _) => top.get_ref().get(name),
            _ => None,
        };
        let Some(next) = next else { break };
        at = Some(next.span().start);
        value = Some(next.get_ref());
    }
    at
}
