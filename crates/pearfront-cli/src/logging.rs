//! The log of the command line, on standard error: lines of text, or one JSON object a line with the same keys.

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};
use std::io::Write;

/// The format of log lines.
#[derive(Debug, Clone, Copy, clap::ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

/// Installs the logger of the process.
pub fn start(format: LogFormat, level: log::LevelFilter) {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(level);
    if let LogFormat::Json = format {
        builder.format(|output, record| writeln!(output, "{}", line(record)));
    }
    builder.init();
}

fn line(record: &log::Record) -> serde_json::Value {
    let mut key_values = KeyValues(Map::new());
    // A value that can't be formatted is left out rather than losing the line.
    let _ = record.key_values().visit(&mut key_values);
    let at = std::time::UNIX_EPOCH.elapsed().map_or(0.0, |time| time.as_secs_f64());
    json!({"at": at, "level": record.level().as_str(), "target": record.target(),
        "message": record.args().to_string(), "with": key_values.0})
}

struct KeyValues(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for KeyValues {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = value.to_f64().map_or_else(|| json!(value.to_string()), |number| json!(number));
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
