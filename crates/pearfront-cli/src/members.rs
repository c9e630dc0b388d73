//! `pearfront members`: who is there, as one process sees it.

use crate::{Trouble, runtime};
use pearfront_emulator::operators;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for a process's answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time between two looks with `--watch`.
const LOOK: Duration = Duration::from_secs(1);

/// Ask a process who else is there, at its address for operators.
#[derive(clap::Args)]
pub struct Members {
    /// The process's `admin` address.
    address: SocketAddr,
    /// As it came, in JSON.
    #[arg(long)]
    json: bool,
    /// Again every second, until it is ended.
    #[arg(long)]
    watch: bool,
}

impl Members {
    pub fn run(self) -> Result<(), Trouble> {
        loop {
            let text = ask(self.address, "/_members")?;
            if self.json {
                println!("{}", text.trim_end());
            } else {
                let view: Value = serde_json::from_str(&text)
                    .map_err(|error| Trouble::Undone(format!("{}: no view: {error}", self.address)))?;
                println!("{}", table(&view));
            }
            if !self.watch {
                return Ok(());
            }
            std::thread::sleep(LOOK);
        }
    }
}

/// The body of an answer of an operators' address.
pub fn ask(address: SocketAddr, path: &str) -> Result<String, Trouble> {
    call(address, "GET", path)
}

/// The same, of a call that changes something.
pub fn put(address: SocketAddr, path: &str) -> Result<String, Trouble> {
    call(address, "PUT", path)
}

fn call(address: SocketAddr, method: &str, path: &str) -> Result<String, Trouble> {
    let told = |what: String| Trouble::Undone(format!("{address}: {what}"));
    let answer = runtime()?.block_on(operators::ask(address, method, path, "", PATIENCE)).map_err(told)?;
    match answer {
        (200, body) => Ok(body),
        (404, _) => {
            Err(told(format!("has no {path}: its file lacks the key `cluster` or what is asked for in it")))
        }
        (409, body) => Err(told(body.trim_end().into())),
        (status, _) => Err(told(format!("answered {status}"))),
    }
}

fn table(view: &Value) -> String {
    let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_string);
    let seconds = |value: &Value| value.as_f64().map_or("-".into(), |s| format!("{s:.1} s"));
    let sure = if view["sure"] == true { "sure" } else { "not sure: it does not act on this" };
    let mut lines = vec![format!(
        "{} of {} in {}, {} under incarnation {}, {sure}; sum {}, doubt in own health {} of 8",
        text(&view["name"]),
        text(&view["installation"]),
        text(&view["zone"]),
        text(&view["state"]),
        view["incarnation"],
        text(&view["sum"]),
        view["health"]
    )];
    if let Some(by) = view["barred_by"].as_str() {
        lines.push(format!("its name is that of a process at {by}: it takes no part"));
    }
    if !view["deaf_s"].is_null() {
        lines.push(format!("it has heard nobody for {}", seconds(&view["deaf_s"])));
    }
    let head = ["name", "zone", "state", "since", "incarnation", "round trip", "heard", "link", "told by"];
    let mut rows = vec![head.map(str::to_string).to_vec()];
    for member in view["members"].as_array().into_iter().flatten() {
        let trip = member["round_trip_ms"].as_f64().map_or("-".into(), |ms| format!("{ms:.2} ms"));
        let suspected: Vec<String> =
            member["suspected_by"].as_array().into_iter().flatten().map(text).collect();
        let told = if suspected.is_empty() {
            member["told_by"].as_str().unwrap_or("-").into()
        } else {
            suspected.join(" ")
        };
        rows.push(vec![
            text(&member["name"]),
            text(&member["zone"]),
            text(&member["state"]),
            seconds(&member["since_s"]),
            member["incarnation"].to_string(),
            trip,
            seconds(&member["heard_s"]),
            text(&member["link"]),
            told,
        ]);
    }
    lines.extend(self::rows(&rows));
    lines.join("\n")
}

/// Rows in columns as wide as they have to be.
pub fn rows(rows: &[Vec<String>]) -> Vec<String> {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width =
        |place: usize| rows.iter().filter_map(|row| row.get(place)).map(String::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..count).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_string()
    };
    rows.iter().map(line).collect()
}

#[cfg(test)]
mod tests;
