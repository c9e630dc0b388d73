//! Deserializes a scenario file and validates it; reports the first mistake with its key and line.

use serde::de::DeserializeOwned;

/// A mistake in a scenario file: the key, the line, and what is wrong.
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

/// Keys and values of scenario files that were renamed, as (old, new); the error for an old name states the new
/// one.
const RENAMED: [(&str, &str); 6] = [
    ("most_shots", "most_attempts"),
    ("contract_ms", "latency_target_ms"),
    ("limit_ms", "deadline_ms"),
    ("redoable", "idempotent"),
    ("labelled", "keyed"),
    ("irreversible", "non-idempotent"),
];

/// The parser's message, replaced by a hint to the new name where the file uses an old one.
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

/// Parses and validates a file's text; reports the first mistake with its key and line.
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

/// Byte offset of a key such as `tiers[0].server.queue` in the text; of its nearest existing parent if the key
/// is absent.
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
