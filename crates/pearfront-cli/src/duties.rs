//! `pearfront duties`: lists duties with their holders, and moves one. A duty is a named task that a cluster of nodes leases
//! to one process at a time, or to a fixed number of them.

use crate::CommandError;
use crate::members::{align_columns, get, put};
use serde_json::Value;
use std::net::SocketAddr;

/// List duties and their holders, or move a duty to another process.
#[derive(clap::Args)]
#[command(args_conflicts_with_subcommands = true, arg_required_else_help = true)]
pub struct Duties {
    /// The `admin` address of a process.
    address: Option<SocketAddr>,
    /// Print the answer as it is, in JSON.
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    action: Option<Action>,
}

#[derive(clap::Subcommand)]
enum Action {
    /// Ask the holder to give the duty up; it goes to the process that is named, or else to the best candidate.
    Move(MoveArgs),
    /// Ask the holder to give the duty up; it is not granted to it again for `times.steady_ms` after its lease.
    Release(ReleaseArgs),
}

#[derive(clap::Args)]
struct MoveArgs {
    /// Name of the duty.
    name: String,
    /// The `admin` address of a process.
    #[arg(long)]
    node: SocketAddr,
    /// Name of the process that is to get it; it has to be a candidate.
    #[arg(long)]
    to: String,
}

#[derive(clap::Args)]
struct ReleaseArgs {
    /// Name of the duty.
    name: String,
    /// The `admin` address of a process.
    #[arg(long)]
    node: SocketAddr,
}

impl Duties {
    pub fn run(self) -> Result<(), CommandError> {
        let text = match (self.action, self.address) {
            (Some(Action::Move(args)), _) => {
                put(args.node, &format!("/_duties/{}/move?to={}", args.name, args.to))?
            }
            (Some(Action::Release(args)), _) => put(args.node, &format!("/_duties/{}/move", args.name))?,
            (None, Some(address)) => {
                let text = get(address, "/_duties")?;
                let status: Value = serde_json::from_str(&text)
                    .map_err(|error| CommandError::Failed(format!("{address}: invalid answer: {error}")))?;
                if self.json { text } else { table(&status) }
            }
            (None, None) => return Err(CommandError::InvalidInput("an address is needed".into())),
        };
        println!("{}", text.trim_end().trim_matches('"'));
        Ok(())
    }
}

fn seconds(value: &Value) -> String {
    value.as_f64().map_or("-".into(), |ms| format!("{:.1} s", ms / 1000.0))
}

fn table(status: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or("-").to_string();
    let list = |value: &Value| value.as_array().cloned().unwrap_or_default();
    let names = |value: &Value| list(value).iter().map(text).collect::<Vec<_>>().join(" ");
    let mut lines = vec![format!("voters {}; {} leads", names(&status["voters"]), text(&status["leader"]))];
    if status["voter"].is_object() {
        let voter = &status["voter"];
        let note = if voter["may_stand"] == true { "" } else { ", has to catch up before it may stand" };
        lines.push(format!(
            "{} is a voter: {} in term {}, {} of {} committed{note}",
            text(&status["name"]),
            text(&voter["role"]),
            voter["term"],
            voter["commit"],
            voter["last"]
        ));
    }
    if let Some(trouble) = status["trouble"].as_str() {
        lines.push(format!("{} is no voter any more: {trouble}", text(&status["name"])));
    }
    if status["foreign"].as_u64().is_some_and(|count| count > 0) {
        lines.push(format!("{} words came of processes whose files name other voters", status["foreign"]));
    }
    if status["duties"].is_null() {
        lines.push("no leader answered: what stands in the log is not known here".into());
        return lines.join("\n");
    }
    let headings = ["duty", "holder", "token", "lease left", "wanted by", "last good run"];
    let mut cells = vec![headings.map(str::to_string).to_vec()];
    for duty in list(&status["duties"]) {
        let last_run = match duty["ran_by"].as_str() {
            Some(by) => format!("{} ago by {by}", seconds(&duty["ran_ms_ago"])),
            None => "-".into(),
        };
        let holders = list(&duty["holders"]);
        let nobody = serde_json::json!({"name": "nobody"});
        let holders = if holders.is_empty() { vec![nobody] } else { holders };
        for holder in holders {
            let token = if holder["token"].is_null() { "-".into() } else { holder["token"].to_string() };
            let candidates = names(&duty["candidates"]);
            let (name, left) = (text(&holder["name"]), seconds(&holder["left_ms"]));
            cells.push(vec![text(&duty["duty"]), name, token, left, candidates, last_run.clone()]);
        }
    }
    lines.extend(align_columns(&cells));
    lines.join("\n")
}

#[cfg(test)]
mod tests;
