//! `pearfront duty`: runs a command while its node holds a duty for it, and ends the command before the lease can be
//! another's, whatever becomes of the node, the way to it or the command.

use crate::{Trouble, runtime};
use pearfront_emulator::operators;
use rustix::process::{Pid, Signal, getpgrp, getppid, kill_process_group};
use rustix::time::{ClockId, clock_gettime};
use serde::Deserialize;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::time::Duration;
use tokio::process::{Child as Running, Command};
use tokio::signal::unix::{Signal as Told, SignalKind, signal};
use tokio::time::sleep;

/// Exit codes; all below are the command's own.
const HELD: u8 = 120;
const RAN: u8 = 121;
const NOBODY: u8 = 122;
const ENDED: u8 = 123;
const NOT_STARTED: u8 = 124;
const NOT_KNOWN: u8 = 125;

/// Longest wait for an answer of the node, ms, and for a leader where nobody is known to hold the duty.
const ANSWER: f64 = 1500.0;
const LEADER: f64 = 10_000.0;
/// Time between two calls while the command runs, ms; a quarter of what is left, if that is less.
const CALL: f64 = 1000.0;
/// Time between two looks at the clock and the command, ms.
const LOOK: f64 = 20.0;
/// The command is killed so long before its lease is over, ms: until the last of it is gone.
const MARGIN: f64 = 250.0;
/// What of the time that the node gives is counted on: clocks of two machines run unevenly.
const SHARE: f64 = 0.95;
/// Longest that the log may take to know that the command has ended, ms.
const KNOWN: f64 = 10_000.0;
/// Pid of the one that has to live, for the one that guards the command.
const PARENT: &str = "PEARFRONT_DUTY_PARENT";

/// Hold a duty while a command runs. Exit codes: the command's own below 120; 120 another holds the duty; 121 it ran well
/// within --once-per; 122 no node or no leader answers; 123 the command was ended because the duty was lost or is to be
/// left; 124 it could not be started; 125 it ended, and the log may not know that.
#[derive(clap::Args)]
pub struct Duty {
    /// The duty's name.
    name: String,
    /// A process's `admin` address.
    #[arg(long)]
    node: SocketAddr,
    /// Wait until the duty is free.
    #[arg(long)]
    wait: bool,
    /// Not if it ended well within this time, whichever node had it: 30s, 15m, 24h.
    #[arg(long, value_parser = span)]
    once_per: Option<f64>,
    /// Time between TERM and KILL where the command has to end; a third of the lease at most.
    #[arg(long, value_parser = span, default_value = "3s")]
    grace: f64,
    /// The command, and what it is given. It finds PEARFRONT_DUTY, PEARFRONT_TOKEN and PEARFRONT_LEFT_MS in its
    /// environment; whoever it acts on has to refuse a smaller token than it has seen.
    #[arg(last = true, required = true)]
    command: Vec<String>,
}

/// What stands between the command and the one that holds the duty, and ends with that one.
#[derive(clap::Args)]
pub struct Child {
    #[arg(last = true, required = true)]
    command: Vec<String>,
}

/// A time with its unit, in ms.
fn span(text: &str) -> Result<f64, String> {
    let digits = text.trim_end_matches(|letter: char| letter.is_ascii_alphabetic());
    let unit = match &text[digits.len()..] {
        "ms" => 1.0,
        "s" => 1e3,
        "m" => 60e3,
        "h" => 3600e3,
        "d" => 86_400e3,
        _ => return Err("needs ms, s, m, h or d behind it".into()),
    };
    let number: f64 = digits.parse().map_err(|_| format!("{digits:?} is no number"))?;
    if number.is_finite() && number >= 0.0 { Ok(number * unit) } else { Err("is no time".into()) }
}

/// Time that goes on while the machine sleeps, ms.
fn now() -> f64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}

async fn pause(ms: f64) {
    sleep(Duration::from_secs_f64(ms.max(0.0) / 1e3)).await;
}

#[derive(Debug, Clone, Deserialize)]
struct Taken {
    name: String,
    token: u64,
}

#[derive(Debug, Clone, Deserialize)]
struct Held {
    token: u64,
    left_ms: f64,
    leave: bool,
}

#[derive(Debug, Clone, Deserialize)]
struct Stands {
    held: Option<Held>,
    holders: Vec<Taken>,
    ran_ms_ago: Option<f64>,
    leader: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Listed {
    duty: String,
    holders: Vec<Taken>,
}

#[derive(Debug, Deserialize)]
struct Listing {
    duties: Option<Vec<Listed>>,
}

impl Child {
    /// Starts the command in its own group, and ends the group with whoever holds the duty: one that is killed can't, and
    /// what the command has forked would go on.
    pub fn run(self) -> Result<(), Trouble> {
        let parent = std::env::var(PARENT).ok().and_then(|text| text.parse::<i32>().ok());
        runtime()?.block_on(self.guard(parent))
    }

    async fn guard(self, parent: Option<i32>) -> Result<(), Trouble> {
        let undone = |what: String| Trouble::Code(NOT_STARTED, what);
        // TERM is for the command, which shares the group.
        let _term = signal(SignalKind::terminate()).map_err(|error| undone(error.to_string()))?;
        let mut command = Command::new(&self.command[0]);
        command.args(&self.command[1..]).env_remove(PARENT).kill_on_drop(true);
        let held = || parent.is_some() && getppid().map(Pid::as_raw_pid) == parent;
        if !held() {
            return Err(undone("whoever holds the duty is gone".into()));
        }
        let command = command.spawn();
        let mut command = command.map_err(|error| undone(format!("{}: {error}", self.command[0])))?;
        loop {
            tokio::select! {
                status = command.wait() => {
                    let status = status.map_err(|error| undone(error.to_string()))?;
                    let code = status.code().or(status.signal().map(|signal| 128 + signal)).unwrap_or(1);
                    return if code == 0 { Ok(()) } else { Err(Trouble::Code(code.clamp(1, 255) as u8, String::new())) };
                }
                () = pause(LOOK) => {}
            }
            if !held() {
                let _ = kill_process_group(getpgrp(), Signal::KILL);
            }
        }
    }
}

impl Duty {
    pub fn run(self) -> Result<(), Trouble> {
        runtime()?.block_on(self.hold())
    }

    async fn hold(self) -> Result<(), Trouble> {
        let told = |kind| signal(kind).map_err(|error| Trouble::Undone(format!("signals: {error}")));
        let mut ends = [told(SignalKind::terminate())?, told(SignalKind::interrupt())?];
        let desk = Desk::new(&self);
        let (token, until) = tokio::select! {
            taken = self.take(&desk) => taken?,
            () = told_to_end(&mut ends) => {
                desk.give_up(false).await;
                return Err(Trouble::Code(ENDED, "told to end before the duty was free".into()));
            }
        };
        let mut command = match self.start(token, until) {
            Ok(command) => command,
            Err(problem) => {
                desk.give_up(false).await;
                return Err(Trouble::Code(NOT_STARTED, problem));
            }
        };
        let group = command.id().and_then(|id| Pid::from_raw(id as i32));
        let grip = Grip { token, until, most: until - now(), group, leave: None, told: None };
        let ended = self.watch(&desk, &mut command, grip, &mut ends).await;
        // What it left behind in its group must not go on without the duty.
        end_group(group, Signal::KILL);
        let (status, lost) = match ended {
            Ok(ended) => ended,
            Err(error) => return Err(Trouble::Undone(error.to_string())),
        };
        let well = lost.is_none() && status.success();
        let known = desk.over(token, well).await;
        if let Some(why) = lost {
            return Err(Trouble::Code(ENDED, format!("the command was ended: {why}")));
        }
        if !known {
            return Err(Trouble::Code(NOT_KNOWN, "it ended, and no leader has said that it knows".into()));
        }
        match status.code().map(|code| code.clamp(0, 255) as u8) {
            Some(0) => Ok(()),
            Some(code) => Err(Trouble::Code(code, String::new())),
            None => Err(Trouble::Code(ENDED, format!("the command died of signal {:?}", status.signal()))),
        }
    }

    /// Waits until the duty is held: its token, and until when it may be acted on.
    async fn take(&self, desk: &Desk) -> Result<(u64, f64), Trouble> {
        let since = now();
        loop {
            let before = now();
            match desk.ask().await {
                Ok(Stands { held: Some(held), .. }) if !held.leave => {
                    return Ok((held.token, before + SHARE * held.left_ms));
                }
                Ok(stands) => self.may_wait(desk, &stands, since).await?,
                Err(Refusal::Now(problem)) => return Err(Trouble::Code(HELD, problem)),
                Err(Refusal::Never(problem)) => return Err(Trouble::Input(problem)),
                Err(Refusal::NoAnswer(problem)) => {
                    if !self.wait && now() - since > LEADER {
                        return Err(Trouble::Code(NOBODY, problem));
                    }
                    pause(200.0).await;
                }
            }
        }
    }

    async fn may_wait(&self, desk: &Desk, stands: &Stands, since: f64) -> Result<(), Trouble> {
        let ran = stands.ran_ms_ago.zip(self.once_per).filter(|(ago, once)| ago < once);
        let trouble = if let Some((ago, _)) = ran {
            Trouble::Code(RAN, format!("{} ended well {:.0} s ago", self.name, ago / 1000.0))
        } else if self.wait {
            return Ok(());
        } else if let Some(holder) = stands.holders.first() {
            Trouble::Code(HELD, format!("{} holds {} under token {}", holder.name, self.name, holder.token))
        } else if now() - since > LEADER {
            let leader = stands
                .leader
                .as_deref()
                .map_or("no leader answers".into(), |name| format!("{name} leads and does not give it"));
            Trouble::Code(NOBODY, leader)
        } else {
            return Ok(());
        };
        desk.give_up(false).await;
        Err(trouble)
    }

    fn start(&self, token: u64, until: f64) -> Result<Running, String> {
        let own = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut command = Command::new(own);
        command.arg("duty-child").arg("--").args(&self.command);
        command.env("PEARFRONT_DUTY", &self.name).env("PEARFRONT_TOKEN", token.to_string());
        command.env("PEARFRONT_LEFT_MS", format!("{:.0}", until - now()));
        command.env(PARENT, std::process::id().to_string());
        command.process_group(0).kill_on_drop(true);
        command.spawn().map_err(|error| format!("{}: {error}", self.command[0]))
    }

    /// Until the command has ended: its status, and why it was ended if it was.
    async fn watch(
        &self,
        desk: &Desk,
        command: &mut Running,
        mut grip: Grip,
        ends: &mut [Told; 2],
    ) -> std::io::Result<(ExitStatus, Option<String>)> {
        let until = grip.until;
        let renewed = std::cell::Cell::new(None);
        let renewing = async {
            let mut left = until - now();
            loop {
                pause(CALL.min(left / 4.0)).await;
                let before = now();
                // A call that comes to nothing changes nothing: the clock goes on.
                if let Ok(stands) = desk.ask().await {
                    left = stands.held.as_ref().map_or(left, |held| held.left_ms);
                    renewed.set(Some((before, stands)));
                }
            }
        };
        tokio::pin!(renewing);
        loop {
            tokio::select! {
                status = command.wait() => {
                    if now() >= grip.until {
                        grip.leave_for("its lease had run out when it ended".into());
                    }
                    return Ok((status?, grip.leave));
                }
                () = &mut renewing => {}
                () = told_to_end(ends) => grip.leave_for("told to end".into()),
                () = pause(LOOK) => {}
            }
            if let Some((before, stands)) = renewed.take() {
                grip.heard(before, &stands);
            }
            grip.act(self.grace);
        }
    }
}

/// What the command may rely on.
struct Grip {
    token: u64,
    until: f64,
    /// The most that was left of its lease, ms.
    most: f64,
    group: Option<Pid>,
    /// Why it has to end, if so.
    leave: Option<String>,
    /// When it was told.
    told: Option<f64>,
}

impl Grip {
    fn leave_for(&mut self, why: String) {
        self.leave.get_or_insert(why);
    }

    fn heard(&mut self, before: f64, stands: &Stands) {
        match &stands.held {
            Some(held) if held.token == self.token => {
                self.until = self.until.max(before + SHARE * held.left_ms);
                self.most = self.most.max(held.left_ms);
                if held.leave {
                    self.leave_for("another is to have the duty".into());
                }
            }
            _ => {
                self.until = self.until.min(now());
                self.leave_for("the duty is held no more".into());
            }
        }
    }

    /// Tells the command to end in time, and kills it in time.
    fn act(&mut self, grace: f64) {
        let at = now();
        let kill_at = self.until - MARGIN;
        // A lease is renewed long before its last third, if anything renews it.
        let grace = grace.min(self.most / 3.0);
        if at >= kill_at - grace {
            self.leave_for("its lease runs out, and nobody renews it".into());
        }
        if self.leave.is_none() {
            return;
        }
        let group = self.group;
        let told = *self.told.get_or_insert_with(|| {
            end_group(group, Signal::TERM);
            at
        });
        if at >= kill_at.min(told + grace) {
            end_group(self.group, Signal::KILL);
        }
    }
}

/// A signal to the command and all that it has started in its group.
fn end_group(group: Option<Pid>, signal: Signal) {
    if let Some(group) = group {
        let _ = kill_process_group(group, signal);
    }
}

async fn told_to_end([one, other]: &mut [Told; 2]) {
    tokio::select! {
        _ = one.recv() => {}
        _ = other.recv() => {}
    }
}

/// Why a node did not say how things stand.
enum Refusal {
    /// Not now: another command has it.
    Now(String),
    /// It has no duties, or not of that name.
    Never(String),
    NoAnswer(String),
}

/// The node, as this command speaks to it.
struct Desk {
    node: SocketAddr,
    name: String,
    client: String,
    once_per: f64,
}

impl Desk {
    fn new(duty: &Duty) -> Self {
        // Told apart from any other command of this machine, and of any other at the same node.
        let client = format!("{:x}-{:x}", std::process::id(), now().to_bits());
        Self { node: duty.node, name: duty.name.clone(), client, once_per: duty.once_per.unwrap_or(0.0) }
    }

    async fn call(&self, method: &str, path: &str) -> Result<(u16, String), String> {
        let patience = Duration::from_secs_f64(ANSWER / 1e3);
        let answer = operators::ask(self.node, method, path, "", patience).await;
        answer.map_err(|problem| format!("{}: {problem}", self.node))
    }

    async fn ask(&self) -> Result<Stands, Refusal> {
        let path =
            format!("/_duties/{}/hold?client={}&once_per_ms={}", self.name, self.client, self.once_per);
        match self.call("PUT", &path).await {
            Ok((200, body)) => {
                serde_json::from_str(&body).map_err(|error| Refusal::NoAnswer(error.to_string()))
            }
            Ok((409, body)) => Err(Refusal::Now(body.trim_end().into())),
            Ok((404, _)) => Err(Refusal::Never(format!("{}: its file names no voters", self.node))),
            Ok((status, body)) => Err(Refusal::NoAnswer(format!("{status} {}", body.trim_end()))),
            Err(problem) => Err(Refusal::NoAnswer(problem)),
        }
    }

    async fn give_up(&self, well: bool) -> bool {
        let path = format!("/_duties/{}/give-up?client={}&well={well}", self.name, self.client);
        matches!(self.call("PUT", &path).await, Ok((200, _)))
    }

    /// Gives it up, and waits until the log has it: another node must not run what has run.
    async fn over(&self, token: u64, well: bool) -> bool {
        let by = now() + KNOWN;
        let mut said = false;
        while now() < by {
            said = said || self.give_up(well).await;
            let listed = self.call("GET", "/_duties").await.ok();
            let listing = listed.and_then(|(_, body)| serde_json::from_str::<Listing>(&body).ok());
            if let Some(duties) = listing.and_then(|listing| listing.duties).filter(|_| said) {
                let own = duties.iter().find(|one| one.duty == self.name);
                if own.is_none_or(|own| own.holders.iter().all(|holder| holder.token != token)) {
                    return true;
                }
            }
            pause(100.0).await;
        }
        false
    }
}

#[cfg(test)]
mod tests;
