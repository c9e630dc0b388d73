//! Duties in this process: what it wants and holds, for itself and for commands that operators run beside it,
//! and its replica if it is a voter. It has no I/O except for the queue to the replica's disk; `Cluster`
//! carries its messages.

use crate::duty_view::{DutiesView, HeldView, HoldView, ListedView, OwnView, TakenView, VoterView};
use crate::link::LinkMessage;
use crate::replica::{Replica, ReplicaMessage};
use pearfront_consensus::{Message, Role, decode};
use pearfront_duties::{
    Agent, AgentAction, DutyInfo, LeaseRequest, LeaseResponse, Order, ProcessId, Want, decode as decode_duty,
    encode as encode_duty,
};
use std::collections::{BTreeMap, VecDeque};

/// A command that has not called for this long, ms, has ended or can't call. Its duty is given up once it must
/// have stopped acting.
const COMMAND_TIMEOUT: f64 = 3000.0;

/// A duty wanted by a command beside this process.
struct CommandLease {
    client: String,
    last_call: f64,
    /// End of the time for which the command was told that it may act.
    granted_until: f64,
}

/// A message to a process by name, or only to one run of it.
pub(crate) struct Outgoing {
    pub to: String,
    pub life: Option<u64>,
    pub message: LinkMessage,
}

/// Everything about duties in this process.
pub(crate) struct DutyService {
    own_id: ProcessId,
    voters: Vec<String>,
    voters_checksum: u32,
    agent: Agent,
    replica: Option<Replica>,
    /// Why this process stopped being a voter.
    failure: Option<String>,
    command_leases: BTreeMap<String, CommandLease>,
    list: Option<Vec<DutyInfo>>,
    order_results: Option<Vec<String>>,
    /// Messages from this process to itself.
    local_queue: VecDeque<LinkMessage>,
    outgoing: Vec<Outgoing>,
    /// Messages of processes that are configured with other voters.
    pub foreign: u64,
    /// Set when something may have changed that a call waits for.
    pub changed: bool,
}

impl DutyService {
    pub fn new(
        own_id: ProcessId,
        voters: &[String],
        times: pearfront_duties::Times,
        replica: Option<Replica>,
    ) -> Self {
        let mut names = voters.to_vec();
        names.sort();
        Self {
            voters_checksum: crc32c::crc32c(names.join("\n").as_bytes()),
            agent: Agent::new(own_id.clone(), &names, times),
            voters: names,
            own_id,
            replica,
            failure: None,
            command_leases: BTreeMap::new(),
            list: None,
            order_results: None,
            local_queue: VecDeque::new(),
            outgoing: Vec::new(),
            foreign: 0,
            changed: false,
        }
    }

    pub fn due(&self) -> f64 {
        let command_leases = self
            .command_leases
            .values()
            .map(|lease| (lease.last_call + COMMAND_TIMEOUT).max(lease.granted_until));
        let replica = self.replica.as_ref().map_or(f64::INFINITY, Replica::due);
        command_leases.fold(self.agent.due().min(replica), f64::min)
    }

    /// Takes the messages to send.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    // ---- inputs ----

    pub fn tick(&mut self, now: f64) {
        let expired =
            |lease: &CommandLease| now >= (lease.last_call + COMMAND_TIMEOUT).max(lease.granted_until);
        let expired: Vec<String> = self
            .command_leases
            .iter()
            .filter(|(_, lease)| expired(lease))
            .map(|(duty, _)| duty.clone())
            .collect();
        for duty in expired {
            log::warn!("cluster: event=duty-unwanted duty={duty}: its command has stopped calling");
            self.command_leases.remove(&duty);
            self.agent.unwant(&duty, now);
        }
        if let Some(replica) = &mut self.replica {
            replica.tick(now);
        }
        self.run(now);
    }

    /// Handles a message of another process.
    pub fn receive(&mut self, from: &str, message: LinkMessage, now: f64) {
        self.handle(from, message, now);
        self.run(now);
    }

    fn handle(&mut self, from: &str, message: LinkMessage, now: f64) {
        let checksum = match &message {
            LinkMessage::Consensus(checksum, _)
            | LinkMessage::LeaseRequest(checksum, _)
            | LinkMessage::LeaseResponse(checksum, _) => *checksum,
            _ => return,
        };
        if checksum != self.voters_checksum {
            self.foreign += 1;
            return;
        }
        match message {
            LinkMessage::Consensus(_, bytes) => {
                let message = decode(&bytes).filter(|message| message.from == from);
                if let (Some(replica), Some(message)) = (&mut self.replica, message) {
                    replica.receive(message, now);
                }
            }
            LinkMessage::LeaseRequest(_, bytes) => {
                let request = decode_duty::<LeaseRequest>(&bytes).filter(|request| request.from.name == from);
                if let (Some(replica), Some(request)) = (&mut self.replica, request) {
                    replica.receive_request(request, now);
                }
            }
            LinkMessage::LeaseResponse(_, bytes) => {
                if let Some(response) =
                    decode_duty::<LeaseResponse>(&bytes).filter(|response| response.from == from)
                {
                    self.agent.receive(response, now);
                }
            }
            _ => {}
        }
    }

    /// A group of the voter's records is on disk, or the store has stopped.
    pub fn on_stored(&mut self, stored: Result<u64, String>, now: f64) {
        match (stored, &mut self.replica) {
            (Ok(number), Some(replica)) => replica.on_stored(number, now),
            (Err(problem), _) => {
                log::error!("cluster: event=voter-ended: {problem}");
                self.failure = Some(problem);
                self.replica = None;
            }
            _ => {}
        }
        self.run(now);
    }

    /// That process has ended, by proof.
    pub fn process_ended(&mut self, name: &str, life: u64, now: f64) {
        if let Some(replica) = &mut self.replica {
            replica.process_ended(&ProcessId { name: name.into(), life }, now);
        }
        self.run(now);
    }

    // ---- outputs ----

    fn run(&mut self, now: f64) {
        loop {
            self.agent.tick(now);
            for action in self.agent.take_actions() {
                self.run_agent_action(action, now);
            }
            let messages = self.replica.as_mut().map(Replica::take_outgoing).unwrap_or_default();
            messages.into_iter().for_each(|message| self.send_replica_message(message));
            let Some(message) = self.local_queue.pop_front() else { return };
            let own_name = self.own_id.name.clone();
            self.handle(&own_name, message, now);
        }
    }

    fn send_replica_message(&mut self, message: ReplicaMessage) {
        match message {
            ReplicaMessage::Consensus(message) => {
                let Message { to, .. } = &message;
                self.send(to.clone(), None, LinkMessage::Consensus(self.voters_checksum, message.encode()));
            }
            ReplicaMessage::LeaseResponse(response) => {
                let ProcessId { name, life } = response.to.clone();
                self.send(
                    name,
                    Some(life),
                    LinkMessage::LeaseResponse(self.voters_checksum, encode_duty(&response)),
                );
            }
        }
    }

    fn send(&mut self, to: String, life: Option<u64>, message: LinkMessage) {
        if to == self.own_id.name {
            // Messages to an earlier run of this process are dropped.
            if life.is_none_or(|life| life == self.own_id.life) {
                self.local_queue.push_back(message);
            }
            return;
        }
        self.outgoing.push(Outgoing { to, life, message });
    }

    fn run_agent_action(&mut self, action: AgentAction, now: f64) {
        self.changed = true;
        match action {
            AgentAction::Send { to, request } => {
                self.changed = false;
                self.send(to, None, LinkMessage::LeaseRequest(self.voters_checksum, encode_duty(&request)));
            }
            AgentAction::Acquired { duty, token, until } => {
                log::info!("cluster: event=duty-held duty={duty} token={token} for_ms={:.0}", until - now);
            }
            AgentAction::Leave { duty, token } => {
                log::info!("cluster: event=duty-to-leave duty={duty} token={token}");
                // A command finishes its own work.
                if !self.command_leases.contains_key(&duty) {
                    self.agent.give_up(&duty, false, now);
                }
            }
            AgentAction::Stopped { duty, token, reason } => {
                log::info!("cluster: event=duty-stopped duty={duty} token={token} why={reason:?}");
            }
            AgentAction::List(list) => self.list = Some(list),
            AgentAction::OrderResults(results) => self.order_results = Some(results),
        }
    }

    // ---- wants of this process and its operators ----

    pub fn request_list(&mut self, now: f64) {
        self.list = None;
        self.agent.request_list(now);
        self.run(now);
    }

    pub fn list(&self) -> Option<&Vec<DutyInfo>> {
        self.list.as_ref()
    }

    /// Orders the holder to hand the duty over; false if no holder is known.
    pub fn order_move(&mut self, duty: &str, to: Option<&str>, now: f64) -> bool {
        let held = self.list.iter().flatten().find(|info| info.duty == duty);
        let Some(token) = held.and_then(|info| info.holders.first()).map(|holder| holder.token) else {
            return false;
        };
        self.order_results = None;
        self.agent.order(Order::Move { duty: duty.into(), token, to: to.map(str::to_string) }, now);
        self.run(now);
        true
    }

    pub fn order_results(&self) -> Option<&Vec<String>> {
        self.order_results.as_ref()
    }

    /// This process itself wants a duty.
    pub fn want(&mut self, want: Want, now: f64) {
        self.agent.want(want, now);
        self.run(now);
    }

    pub fn unwant(&mut self, duty: &str, now: f64) {
        self.agent.unwant(duty, now);
        self.run(now);
    }

    pub fn holds(&self, duty: &str, now: f64) -> bool {
        self.agent.may_act(duty, now).is_some()
    }

    /// A command wants a duty, and repeats the call while it does. False if another command here has it.
    pub fn want_for_command(&mut self, client: &str, want: Want, now: f64) -> bool {
        let duty = want.duty.clone();
        let lease = CommandLease { client: client.into(), last_call: now, granted_until: f64::NEG_INFINITY };
        let lease = self.command_leases.entry(duty).or_insert(lease);
        if lease.client != client {
            return false;
        }
        lease.last_call = now;
        self.agent.want(want, now);
        self.run(now);
        true
    }

    /// State of a command's duty. The command may rely on what it is told here.
    pub fn hold_view(&mut self, duty: &str, now: f64) -> HoldView {
        let held = self.agent.may_act(duty, now);
        if let (Some((_, until)), Some(lease)) = (held, self.command_leases.get_mut(duty)) {
            lease.granted_until = lease.granted_until.max(until);
        }
        let wait_status = self.agent.wait_status(duty);
        HoldView {
            held: held.map(|(token, until)| HeldView {
                token,
                left_ms: until - now,
                must_leave: self.agent.must_leave(duty),
            }),
            holders: wait_status
                .map(|status| status.holders.iter().map(TakenView::new).collect())
                .unwrap_or_default(),
            ran_ms_ago: wait_status.and_then(|status| status.last_run_ago),
            leader: self.agent.leader().map(str::to_string),
        }
    }

    /// A command has ended; `succeeded` tells how. False if the duty is not its own.
    pub fn give_up(&mut self, duty: &str, client: &str, succeeded: bool, now: f64) -> bool {
        if self.command_leases.get(duty).is_none_or(|lease| lease.client != client) {
            return false;
        }
        self.command_leases.remove(duty);
        self.agent.give_up(duty, succeeded, now);
        self.agent.unwant(duty, now);
        self.run(now);
        true
    }

    // ---- views ----

    pub fn view(&self, now: f64) -> DutiesView {
        let voter = self.replica.as_ref().map(|replica| VoterView {
            role: match replica.voter.role() {
                Role::Follower => "follower",
                Role::PreCandidate | Role::Candidate => "candidate",
                Role::Leader if replica.is_leading() => "leader",
                Role::Leader => "leader, not settled",
            },
            term: replica.voter.term(),
            leader: replica.voter.leader().map(str::to_string),
            commit: replica.voter.commit_index(),
            last: replica.voter.last_index(),
            may_stand: replica.voter.may_stand(),
        });
        let held = self.agent.held(now).into_iter();
        DutiesView {
            name: self.own_id.name.clone(),
            voters: self.voters.clone(),
            leader: self.agent.leader().map(str::to_string),
            voter,
            failure: self.failure.clone(),
            foreign: self.foreign,
            holds: held
                .map(|(duty, token, until)| OwnView { duty: duty.into(), token, left_ms: until - now })
                .collect(),
            duties: self.list.as_ref().map(|list| list.iter().map(ListedView::new).collect()),
        }
    }
}
