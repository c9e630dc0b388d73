//! The log of the command line: lines of text, or one JSON object a line with the same keys.

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};
use std::io::Write;

#[derive(Debug, Clone, Copy, clap::ValueEnum)]
pub enum Form {
    Text,
    Json,
}

pub fn start(form: Form, level: log::LevelFilter) {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(level);
    if let Form::Json = form {
        builder.format(|to, record| writeln!(to, "{}", line(record)));
    }
    builder.init();
}

fn line(record: &log::Record) -> serde_json::Value {
    let mut pairs = Pairs(Map::new());
    // A value that can't be shown is left out; the line must not be lost for it.
    let _ = record.key_values().visit(&mut pairs);
    let at = std::time::UNIX_EPOCH.elapsed().map_or(0.0, |time| time.as_secs_f64());
    json!({"at": at, "level": record.level().as_str(), "target": record.target(),
        "message": record.args().to_string(), "with": pairs.0})
}

struct Pairs(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = value.to_f64().map_or_else(|| json!(value.to_string()), |number| json!(number));
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
