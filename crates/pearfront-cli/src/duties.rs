//! `pearfront duties`: who holds which duty, and moving one.

use crate::Trouble;
use crate::members::{ask, put, rows};
use serde_json::Value;
use std::net::SocketAddr;

/// Ask a process which duties there are and who holds them, or have one moved.
#[derive(clap::Args)]
#[command(args_conflicts_with_subcommands = true, arg_required_else_help = true)]
pub struct Duties {
    /// The process's `admin` address.
    address: Option<SocketAddr>,
    /// As it came, in JSON.
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    what: Option<What>,
}

#[derive(clap::Subcommand)]
enum What {
    /// Its holder is told to leave it; it goes to the one named, or to whoever is best placed.
    Move(Moved),
    /// Its holder is told to leave it, and does not get it back for a while (`times.steady_ms`) after its lease.
    Release(Released),
}

#[derive(clap::Args)]
struct Moved {
    name: String,
    /// A process's `admin` address.
    #[arg(long)]
    node: SocketAddr,
    /// Who is to have it; it has to want it.
    #[arg(long)]
    to: String,
}

#[derive(clap::Args)]
struct Released {
    name: String,
    /// A process's `admin` address.
    #[arg(long)]
    node: SocketAddr,
}

impl Duties {
    pub fn run(self) -> Result<(), Trouble> {
        let told = match (self.what, self.address) {
            (Some(What::Move(one)), _) => {
                put(one.node, &format!("/_duties/{}/move?to={}", one.name, one.to))?
            }
            (Some(What::Release(one)), _) => put(one.node, &format!("/_duties/{}/move", one.name))?,
            (None, Some(address)) => {
                let text = ask(address, "/_duties")?;
                let view: Value = serde_json::from_str(&text)
                    .map_err(|error| Trouble::Undone(format!("{address}: no view: {error}")))?;
                if self.json { text } else { table(&view) }
            }
            (None, None) => return Err(Trouble::Input("an address is needed".into())),
        };
        println!("{}", told.trim_end().trim_matches('"'));
        Ok(())
    }
}

fn seconds(value: &Value) -> String {
    value.as_f64().map_or("-".into(), |ms| format!("{:.1} s", ms / 1000.0))
}

fn table(view: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or("-").to_string();
    let list = |value: &Value| value.as_array().cloned().unwrap_or_default();
    let names = |value: &Value| list(value).iter().map(text).collect::<Vec<_>>().join(" ");
    let mut lines = vec![format!("voters {}; {} leads", names(&view["voters"]), text(&view["leader"]))];
    if view["voter"].is_object() {
        let voter = &view["voter"];
        let stands = if voter["may_stand"] == true { "" } else { ", has to catch up before it may stand" };
        lines.push(format!(
            "{} is a voter: {} in term {}, {} of {} committed{stands}",
            text(&view["name"]),
            text(&voter["role"]),
            voter["term"],
            voter["commit"],
            voter["last"]
        ));
    }
    if let Some(trouble) = view["trouble"].as_str() {
        lines.push(format!("{} is no voter any more: {trouble}", text(&view["name"])));
    }
    if view["foreign"].as_u64().is_some_and(|count| count > 0) {
        lines.push(format!("{} words came of processes whose files name other voters", view["foreign"]));
    }
    if view["duties"].is_null() {
        lines.push("no leader answered: what stands in the log is not known here".into());
        return lines.join("\n");
    }
    let head = ["duty", "holder", "token", "lease left", "wanted by", "last good run"];
    let mut all = vec![head.map(str::to_string).to_vec()];
    for duty in list(&view["duties"]) {
        let ran = match duty["ran_by"].as_str() {
            Some(by) => format!("{} ago by {by}", seconds(&duty["ran_ms_ago"])),
            None => "-".into(),
        };
        let holders = list(&duty["holders"]);
        let nobody = serde_json::json!({"name": "nobody"});
        let shown = if holders.is_empty() { vec![nobody] } else { holders };
        for holder in shown {
            let token = if holder["token"].is_null() { "-".into() } else { holder["token"].to_string() };
            let wanted = names(&duty["candidates"]);
            let (name, left) = (text(&holder["name"]), seconds(&holder["left_ms"]));
            all.push(vec![text(&duty["duty"]), name, token, left, wanted, ran.clone()]);
        }
    }
    lines.extend(rows(&all));
    lines.join("\n")
}

#[cfg(test)]
mod tests;
