//! `pearfront members`: the members of a cluster as one process sees them. Also the HTTP calls to a node's `admin` address and
//! the table layout that other commands use.

use crate::{CommandError, runtime};
use pearfront_emulator::operators;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Time-out of a call to a process.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of queries with `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// List the members of the cluster as one process sees them.
#[derive(clap::Args)]
pub struct Members {
    /// The `admin` address of a process.
    address: SocketAddr,
    /// Print the answer as it is, in JSON.
    #[arg(long)]
    json: bool,
    /// Repeat every second until interrupted.
    #[arg(long)]
    watch: bool,
}

impl Members {
    pub fn run(self) -> Result<(), CommandError> {
        loop {
            let text = get(self.address, "/_members")?;
            if self.json {
                println!("{}", text.trim_end());
            } else {
                let status: Value = serde_json::from_str(&text).map_err(|error| {
                    CommandError::Failed(format!("{}: invalid answer: {error}", self.address))
                })?;
                println!("{}", table(&status));
            }
            if !self.watch {
                return Ok(());
            }
            std::thread::sleep(WATCH_INTERVAL);
        }
    }
}

/// Reads from a process's `admin` address; returns the body of the answer.
pub fn get(address: SocketAddr, path: &str) -> Result<String, CommandError> {
    call(address, "GET", path)
}

/// Makes a call that changes something; returns the body of the answer.
pub fn put(address: SocketAddr, path: &str) -> Result<String, CommandError> {
    call(address, "PUT", path)
}

fn call(address: SocketAddr, method: &str, path: &str) -> Result<String, CommandError> {
    let failed = |message: String| CommandError::Failed(format!("{address}: {message}"));
    let answer =
        runtime()?.block_on(operators::ask(address, method, path, "", ANSWER_TIMEOUT)).map_err(failed)?;
    match answer {
        (200, body) => Ok(body),
        (404, _) => Err(failed(format!(
            "has no {path}: its configuration lacks the key `cluster`, or the part of it that this needs"
        ))),
        (409, body) => Err(failed(body.trim_end().into())),
        (status, _) => Err(failed(format!("answered {status}"))),
    }
}

fn table(status: &Value) -> String {
    let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_string);
    let seconds = |value: &Value| value.as_f64().map_or("-".into(), |s| format!("{s:.1} s"));
    let certainty = if status["sure"] == true { "sure" } else { "not sure: it does not act on this" };
    let mut lines = vec![format!(
        "{} of {} in {}, {} under incarnation {}, {certainty}; sum {}, doubt in own health {} of 8",
        text(&status["name"]),
        text(&status["installation"]),
        text(&status["zone"]),
        text(&status["state"]),
        status["incarnation"],
        text(&status["sum"]),
        status["health"]
    )];
    if let Some(by) = status["barred_by"].as_str() {
        lines.push(format!("its name is that of a process at {by}: it takes no part"));
    }
    if !status["deaf_s"].is_null() {
        lines.push(format!("it has heard nobody for {}", seconds(&status["deaf_s"])));
    }
    let headings =
        ["name", "zone", "state", "since", "incarnation", "round trip", "heard", "link", "told by"];
    let mut cells = vec![headings.map(str::to_string).to_vec()];
    for member in status["members"].as_array().into_iter().flatten() {
        let round_trip = member["round_trip_ms"].as_f64().map_or("-".into(), |ms| format!("{ms:.2} ms"));
        let suspected_by: Vec<String> =
            member["suspected_by"].as_array().into_iter().flatten().map(text).collect();
        let source = if suspected_by.is_empty() {
            member["told_by"].as_str().unwrap_or("-").into()
        } else {
            suspected_by.join(" ")
        };
        cells.push(vec![
            text(&member["name"]),
            text(&member["zone"]),
            text(&member["state"]),
            seconds(&member["since_s"]),
            member["incarnation"].to_string(),
            round_trip,
            seconds(&member["heard_s"]),
            text(&member["link"]),
            source,
        ]);
    }
    lines.extend(align_columns(&cells));
    lines.join("\n")
}

/// Formats rows in aligned columns.
pub fn align_columns(rows: &[Vec<String>]) -> Vec<String> {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width =
        |column: usize| rows.iter().filter_map(|row| row.get(column)).map(String::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..count).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_string()
    };
    rows.iter().map(line).collect()
}

#[cfg(test)]
mod tests;
