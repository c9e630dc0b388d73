//! `pearfront duty`: runs a command while a node holds a duty for it, for work that must run in one place at a time. The command
//! is ended before the lease can go to another holder, even if the node, the connection to it or this process fails.

use crate::{CommandError, runtime};
use pearfront_emulator::operators;
use rustix::process::{Pid, Signal, getpgrp, getppid, kill_process_group};
use rustix::time::{ClockId, clock_gettime};
use serde::Deserialize;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::signal::unix::{Signal as SignalStream, SignalKind, signal};
use tokio::time::sleep;

/// Exit code: another process holds the duty. Codes below 120 are the command's own.
const EXIT_HELD: u8 = 120;
/// Exit code: the command ran successfully within `--once-per`.
const EXIT_RAN: u8 = 121;
/// Exit code: no node or no leader answers.
const EXIT_NO_ANSWER: u8 = 122;
/// Exit code: the command was ended before it was done.
const EXIT_ENDED: u8 = 123;
/// Exit code: the command could not be started.
const EXIT_NOT_STARTED: u8 = 124;
/// Exit code: the command ended, but that may not be in the log.
const EXIT_NOT_RECORDED: u8 = 125;

/// Time-out of a call to the node.
const ANSWER_TIMEOUT_MS: f64 = 1500.0;
/// Longest wait for a leader while no holder of the duty is known.
const LEADER_WAIT_MS: f64 = 10_000.0;
/// Interval of lease renewals while the command runs; a quarter of the remaining lease, if that is less.
const RENEWAL_INTERVAL_MS: f64 = 1000.0;
/// Interval at which the clock and the command are checked.
const POLL_INTERVAL_MS: f64 = 20.0;
/// The command is killed this long before its lease expires, so that all its processes are gone by then.
const KILL_MARGIN_MS: f64 = 250.0;
/// Share of the lease time given by the node that is used: clocks of two machines run at different rates.
const USABLE_SHARE: f64 = 0.95;
/// Longest wait until the log has recorded that the duty was given up.
const RECORDED_TIMEOUT_MS: f64 = 10_000.0;
/// Variable with the pid of the process that holds the duty, for the process that guards the command.
const PARENT_VARIABLE: &str = "PEARFRONT_DUTY_PARENT";

/// Run a command while holding a duty. Exit codes: below 120 the command's own; 120 another process holds the duty; 121 the
/// command ran successfully within --once-per; 122 no node or no leader answers; 123 the command was ended because the duty
/// was lost or has to be given up; 124 it could not be started; 125 it ended, but that may not be recorded in the log.
#[derive(clap::Args)]
pub struct Duty {
    /// Name of the duty.
    name: String,
    /// The `admin` address of a process.
    #[arg(long)]
    node: SocketAddr,
    /// Wait until the duty is free.
    #[arg(long)]
    wait: bool,
    /// Don't run if the command succeeded within this time at any node: 30s, 15m, 24h.
    #[arg(long, value_parser = parse_duration_ms)]
    once_per: Option<f64>,
    /// Time between TERM and KILL when the command has to end; at most a third of the lease.
    #[arg(long, value_parser = parse_duration_ms, default_value = "3s")]
    grace: f64,
    /// The command and its arguments. Its environment contains PEARFRONT_DUTY, PEARFRONT_TOKEN and PEARFRONT_LEFT_MS; whatever
    /// the command changes should reject a token lower than the highest it has seen.
    #[arg(last = true, required = true)]
    command: Vec<String>,
}

/// The process between the one that holds the duty and the command; it ends the command if the former dies.
#[derive(clap::Args)]
pub struct DutyChild {
    #[arg(last = true, required = true)]
    command: Vec<String>,
}

/// Parses a duration with its unit.
fn parse_duration_ms(text: &str) -> Result<f64, String> {
    let digits = text.trim_end_matches(|letter: char| letter.is_ascii_alphabetic());
    let unit = match &text[digits.len()..] {
        "ms" => 1.0,
        "s" => 1e3,
        "m" => 60e3,
        "h" => 3600e3,
        "d" => 86_400e3,
        _ => return Err("needs one of the units ms, s, m, h, d".into()),
    };
    let number: f64 = digits.parse().map_err(|_| format!("{digits:?} is not a number"))?;
    if number.is_finite() && number >= 0.0 { Ok(number * unit) } else { Err("is not a duration".into()) }
}

/// Monotonic time that includes suspend, ms: a lease runs out while the machine sleeps.
fn now() -> f64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}

async fn sleep_ms(ms: f64) {
    sleep(Duration::from_secs_f64(ms.max(0.0) / 1e3)).await;
}

#[derive(Debug, Clone, Deserialize)]
struct Holder {
    name: String,
    token: u64,
}

/// The duty as this client holds it: its token, what is left of the lease, and whether it has to be given up.
#[derive(Debug, Clone, Deserialize)]
struct HeldDuty {
    token: u64,
    left_ms: f64,
    leave: bool,
}

/// A node's answer to `hold`.
#[derive(Debug, Clone, Deserialize)]
struct DutyStatus {
    held: Option<HeldDuty>,
    holders: Vec<Holder>,
    ran_ms_ago: Option<f64>,
    leader: Option<String>,
}

#[derive(Debug, Deserialize)]
struct ListedDuty {
    duty: String,
    holders: Vec<Holder>,
}

/// The part of `/_duties` that is used here; `duties` is none if no leader answered.
#[derive(Debug, Deserialize)]
struct DutyList {
    duties: Option<Vec<ListedDuty>>,
}

impl DutyChild {
    /// Starts the command in this process's group, and kills the group once the process that holds the duty has died: that one
    /// can't do it if it was killed itself, and the command's children would continue.
    pub fn run(self) -> Result<(), CommandError> {
        let parent = std::env::var(PARENT_VARIABLE).ok().and_then(|text| text.parse::<i32>().ok());
        runtime()?.block_on(self.guard(parent))
    }

    async fn guard(self, parent: Option<i32>) -> Result<(), CommandError> {
        let not_started = |message: String| CommandError::ExitCode(EXIT_NOT_STARTED, message);
        // TERM is meant for the command, which is in the same group; catching it keeps this process alive.
        let _term = signal(SignalKind::terminate()).map_err(|error| not_started(error.to_string()))?;
        let mut command = Command::new(&self.command[0]);
        command.args(&self.command[1..]).env_remove(PARENT_VARIABLE).kill_on_drop(true);
        let parent_lives = || parent.is_some() && getppid().map(Pid::as_raw_pid) == parent;
        if !parent_lives() {
            return Err(not_started("the process that holds the duty is gone".into()));
        }
        let command = command.spawn();
        let mut command = command.map_err(|error| not_started(format!("{}: {error}", self.command[0])))?;
        loop {
            tokio::select! {
                status = command.wait() => {
                    let status = status.map_err(|error| not_started(error.to_string()))?;
                    let code = status.code().or(status.signal().map(|signal| 128 + signal)).unwrap_or(1);
                    return if code == 0 { Ok(()) } else { Err(CommandError::ExitCode(code.clamp(1, 255) as u8, String::new())) };
                }
                () = sleep_ms(POLL_INTERVAL_MS) => {}
            }
            if !parent_lives() {
                let _ = kill_process_group(getpgrp(), Signal::KILL);
            }
        }
    }
}

impl Duty {
    pub fn run(self) -> Result<(), CommandError> {
        runtime()?.block_on(self.hold())
    }

    async fn hold(self) -> Result<(), CommandError> {
        let listen = |kind| signal(kind).map_err(|error| CommandError::Failed(format!("signals: {error}")));
        let mut end_signals = [listen(SignalKind::terminate())?, listen(SignalKind::interrupt())?];
        let node_client = NodeClient::new(&self);
        let (token, valid_until) = tokio::select! {
            acquired = self.acquire(&node_client) => acquired?,
            () = end_signal(&mut end_signals) => {
                node_client.give_up(false).await;
                return Err(CommandError::ExitCode(EXIT_ENDED, "interrupted before the duty was free".into()));
            }
        };
        let mut command = match self.start(token, valid_until) {
            Ok(command) => command,
            Err(message) => {
                node_client.give_up(false).await;
                return Err(CommandError::ExitCode(EXIT_NOT_STARTED, message));
            }
        };
        let group = command.id().and_then(|id| Pid::from_raw(id as i32));
        let running = RunningCommand {
            token,
            valid_until,
            longest_left_ms: valid_until - now(),
            group,
            end_reason: None,
            term_sent_at: None,
        };
        let ended = self.watch(&node_client, &mut command, running, &mut end_signals).await;
        // Processes that it left behind in its group must not continue without the duty.
        end_group(group, Signal::KILL);
        let (status, lost) = match ended {
            Ok(ended) => ended,
            Err(error) => return Err(CommandError::Failed(error.to_string())),
        };
        let success = lost.is_none() && status.success();
        let recorded = node_client.release_and_confirm(token, success).await;
        if let Some(reason) = lost {
            return Err(CommandError::ExitCode(EXIT_ENDED, format!("the command was ended: {reason}")));
        }
        if !recorded {
            return Err(CommandError::ExitCode(
                EXIT_NOT_RECORDED,
                "the command ended, but no leader has confirmed that it is recorded".into(),
            ));
        }
        match status.code().map(|code| code.clamp(0, 255) as u8) {
            Some(0) => Ok(()),
            Some(code) => Err(CommandError::ExitCode(code, String::new())),
            None => Err(CommandError::ExitCode(
                EXIT_ENDED,
                format!("the command was killed by signal {:?}", status.signal()),
            )),
        }
    }

    /// Waits until the duty is held; returns its token, and until when the lease is valid.
    async fn acquire(&self, node_client: &NodeClient) -> Result<(u64, f64), CommandError> {
        let since = now();
        loop {
            let before = now();
            match node_client.claim().await {
                Ok(DutyStatus { held: Some(held), .. }) if !held.leave => {
                    return Ok((held.token, before + USABLE_SHARE * held.left_ms));
                }
                Ok(status) => self.check_wait(node_client, &status, since).await?,
                Err(CallError::HeldElsewhere(message)) => {
                    return Err(CommandError::ExitCode(EXIT_HELD, message));
                }
                Err(CallError::NoSuchDuty(message)) => return Err(CommandError::InvalidInput(message)),
                Err(CallError::NoAnswer(message)) => {
                    if !self.wait && now() - since > LEADER_WAIT_MS {
                        return Err(CommandError::ExitCode(EXIT_NO_ANSWER, message));
                    }
                    sleep_ms(200.0).await;
                }
            }
        }
    }

    /// Whether to go on waiting for the duty; otherwise gives up the claim and returns the reason.
    async fn check_wait(
        &self,
        node_client: &NodeClient,
        status: &DutyStatus,
        since: f64,
    ) -> Result<(), CommandError> {
        let recent_run = status.ran_ms_ago.zip(self.once_per).filter(|(ago, once_per)| ago < once_per);
        let error = if let Some((ago, _)) = recent_run {
            CommandError::ExitCode(
                EXIT_RAN,
                format!("{} was run successfully {:.0} s ago", self.name, ago / 1000.0),
            )
        } else if self.wait {
            return Ok(());
        } else if let Some(holder) = status.holders.first() {
            CommandError::ExitCode(
                EXIT_HELD,
                format!("{} holds {} under token {}", holder.name, self.name, holder.token),
            )
        } else if now() - since > LEADER_WAIT_MS {
            let leader = status.leader.as_deref().map_or("no leader answers".into(), |name| {
                format!("{name} leads, but does not grant the duty")
            });
            CommandError::ExitCode(EXIT_NO_ANSWER, leader)
        } else {
            return Ok(());
        };
        node_client.give_up(false).await;
        Err(error)
    }

    fn start(&self, token: u64, valid_until: f64) -> Result<Child, String> {
        let own_program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut command = Command::new(own_program);
        command.arg("duty-child").arg("--").args(&self.command);
        command.env("PEARFRONT_DUTY", &self.name).env("PEARFRONT_TOKEN", token.to_string());
        command.env("PEARFRONT_LEFT_MS", format!("{:.0}", valid_until - now()));
        command.env(PARENT_VARIABLE, std::process::id().to_string());
        command.process_group(0).kill_on_drop(true);
        command.spawn().map_err(|error| format!("{}: {error}", self.command[0]))
    }

    /// Renews the lease until the command has ended; returns its status, and the reason if it was made to end.
    async fn watch(
        &self,
        node_client: &NodeClient,
        command: &mut Child,
        mut running: RunningCommand,
        end_signals: &mut [SignalStream; 2],
    ) -> std::io::Result<(ExitStatus, Option<String>)> {
        let valid_until = running.valid_until;
        let renewed = std::cell::Cell::new(None);
        let renewing = async {
            let mut left = valid_until - now();
            loop {
                sleep_ms(RENEWAL_INTERVAL_MS.min(left / 4.0)).await;
                let before = now();
                // A failed call changes nothing; the lease keeps running out.
                if let Ok(status) = node_client.claim().await {
                    left = status.held.as_ref().map_or(left, |held| held.left_ms);
                    renewed.set(Some((before, status)));
                }
            }
        };
        tokio::pin!(renewing);
        loop {
            tokio::select! {
                status = command.wait() => {
                    if now() >= running.valid_until {
                        running.end_because("its lease had expired when it ended".into());
                    }
                    return Ok((status?, running.end_reason));
                }
                () = &mut renewing => {}
                () = end_signal(end_signals) => running.end_because("interrupted".into()),
                () = sleep_ms(POLL_INTERVAL_MS) => {}
            }
            if let Some((before, status)) = renewed.take() {
                running.update(before, &status);
            }
            running.enforce(self.grace);
        }
    }
}

/// The command while it runs, and the lease that it runs under.
struct RunningCommand {
    token: u64,
    /// Until when the lease is valid, by `now`.
    valid_until: f64,
    /// The longest remaining lease seen so far.
    longest_left_ms: f64,
    /// Process group of the command.
    group: Option<Pid>,
    /// Why it has to end, if it has to.
    end_reason: Option<String>,
    /// When TERM was sent.
    term_sent_at: Option<f64>,
}

impl RunningCommand {
    fn end_because(&mut self, reason: String) {
        self.end_reason.get_or_insert(reason);
    }

    /// Takes a node's answer to a call that was made at `before`.
    fn update(&mut self, before: f64, status: &DutyStatus) {
        match &status.held {
            Some(held) if held.token == self.token => {
                self.valid_until = self.valid_until.max(before + USABLE_SHARE * held.left_ms);
                self.longest_left_ms = self.longest_left_ms.max(held.left_ms);
                if held.leave {
                    self.end_because("the duty is to go to another process".into());
                }
            }
            _ => {
                self.valid_until = self.valid_until.min(now());
                self.end_because("the duty is no longer held".into());
            }
        }
    }

    /// Sends TERM and later KILL if the command has to end, early enough before the lease expires.
    fn enforce(&mut self, grace: f64) {
        let at = now();
        let kill_at = self.valid_until - KILL_MARGIN_MS;
        // A lease that can be renewed never gets down to its last third.
        let grace = grace.min(self.longest_left_ms / 3.0);
        if at >= kill_at - grace {
            self.end_because("its lease runs out and could not be renewed".into());
        }
        if self.end_reason.is_none() {
            return;
        }
        let group = self.group;
        let term_sent_at = *self.term_sent_at.get_or_insert_with(|| {
            end_group(group, Signal::TERM);
            at
        });
        if at >= kill_at.min(term_sent_at + grace) {
            end_group(self.group, Signal::KILL);
        }
    }
}

/// Signals the command and all processes that it has started in its group.
fn end_group(group: Option<Pid>, signal: Signal) {
    if let Some(group) = group {
        let _ = kill_process_group(group, signal);
    }
}

async fn end_signal([one, other]: &mut [SignalStream; 2]) {
    tokio::select! {
        _ = one.recv() => {}
        _ = other.recv() => {}
    }
}

/// Why a `hold` call failed.
enum CallError {
    /// Another command holds the duty through this node.
    HeldElsewhere(String),
    /// The node has no duties, or none of that name.
    NoSuchDuty(String),
    NoAnswer(String),
}

/// Calls to the node on behalf of this command.
struct NodeClient {
    node: SocketAddr,
    name: String,
    client: String,
    once_per: f64,
}

impl NodeClient {
    fn new(duty: &Duty) -> Self {
        // Distinguishes this command from any other that uses the same node.
        let client = format!("{:x}-{:x}", std::process::id(), now().to_bits());
        Self { node: duty.node, name: duty.name.clone(), client, once_per: duty.once_per.unwrap_or(0.0) }
    }

    async fn call(&self, method: &str, path: &str) -> Result<(u16, String), String> {
        let timeout = Duration::from_secs_f64(ANSWER_TIMEOUT_MS / 1e3);
        let answer = operators::ask(self.node, method, path, "", timeout).await;
        answer.map_err(|message| format!("{}: {message}", self.node))
    }

    /// Claims or renews the duty.
    async fn claim(&self) -> Result<DutyStatus, CallError> {
        let path =
            format!("/_duties/{}/hold?client={}&once_per_ms={}", self.name, self.client, self.once_per);
        match self.call("PUT", &path).await {
            Ok((200, body)) => {
                serde_json::from_str(&body).map_err(|error| CallError::NoAnswer(error.to_string()))
            }
            Ok((409, body)) => Err(CallError::HeldElsewhere(body.trim_end().into())),
            Ok((404, _)) => {
                Err(CallError::NoSuchDuty(format!("{}: its configuration names no voters", self.node)))
            }
            Ok((status, body)) => Err(CallError::NoAnswer(format!("{status} {}", body.trim_end()))),
            Err(message) => Err(CallError::NoAnswer(message)),
        }
    }

    /// Gives the duty up; `success` counts for `--once-per`.
    async fn give_up(&self, success: bool) -> bool {
        let path = format!("/_duties/{}/give-up?client={}&well={success}", self.name, self.client);
        matches!(self.call("PUT", &path).await, Ok((200, _)))
    }

    /// Gives the duty up and waits until the log has recorded it, so that another node does not run the command again.
    async fn release_and_confirm(&self, token: u64, success: bool) -> bool {
        let deadline = now() + RECORDED_TIMEOUT_MS;
        let mut given_up = false;
        while now() < deadline {
            given_up = given_up || self.give_up(success).await;
            let listed = self.call("GET", "/_duties").await.ok();
            let listing = listed.and_then(|(_, body)| serde_json::from_str::<DutyList>(&body).ok());
            if let Some(duties) = listing.and_then(|listing| listing.duties).filter(|_| given_up) {
                let own = duties.iter().find(|one| one.duty == self.name);
                if own.is_none_or(|own| own.holders.iter().all(|holder| holder.token != token)) {
                    return true;
                }
            }
            sleep_ms(100.0).await;
        }
        false
    }
}

#[cfg(test)]
mod tests;
