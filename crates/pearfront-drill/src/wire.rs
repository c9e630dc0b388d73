//! Frames of the simulator's protocol. Its numeric codes, offsets and units appear in this file only; the rest of
//! the project does not know them.

use pearfront::interface::{Address, AttemptOutcome, DecisionWriter, ListedServer, ServerState};
use pearfront::policy::Balancer;
use std::io::Read;
use std::ops::Range;

/// Sizes of an event record, of an action record, of an entry in a table of servers, and of a frame's head after its
/// length.
const EVENT_BYTES: usize = 48;
const ACTION_BYTES: usize = 24;
const ENTRY_BYTES: usize = 24;
const BATCH_HEAD_BYTES: usize = 12;
const NS_PER_MS: f64 = 1e6;
/// Longest delay that the simulator's timer takes (71 minutes).
const LONGEST_WAKE_MS: f64 = 71.0 * 60_000.0;

/// Reads the body of one frame; false at the end of the input.
pub fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, String> {
    let mut size = [0; 4];
    let mut received = 0;
    while received < size.len() {
        match input.read(&mut size[received..]).map_err(|error| format!("input: {error}"))? {
            0 if received == 0 => return Ok(false),
            0 => return Err("input ends within a frame's length".into()),
            read => received += read,
        }
    }
    let length = BATCH_HEAD_BYTES + u32::from_le_bytes(size) as usize;
    frame.clear();
    let read = input.take(length as u64).read_to_end(frame).map_err(|error| format!("input: {error}"))?;
    if read < length {
        return Err(format!("input ends within a frame: {read} of {length} bytes"));
    }
    Ok(true)
}

/// The little-endian integer of `N` bytes at that offset.
fn integer<const N: usize>(bytes: &[u8], at: usize) -> u64 {
    let mut padded = [0; 8];
    padded[..N].copy_from_slice(&bytes[at..at + N]);
    u64::from_le_bytes(padded)
}

fn address(bytes: &[u8], at: usize) -> Address {
    std::array::from_fn(|byte| bytes[at + byte])
}

fn outcome(code: u8, at: usize) -> Result<AttemptOutcome, String> {
    Ok(match code {
        10 => AttemptOutcome::Served,
        20 => AttemptOutcome::Error,
        30 => AttemptOutcome::Full,
        40 => AttemptOutcome::TimedOut,
        50 => AttemptOutcome::ConnectFailed,
        60 => AttemptOutcome::ConnectionLost,
        70 => AttemptOutcome::Cancelled,
        80 => AttemptOutcome::NeverSent,
        _ => return Err(format!("event {at}: unknown state code {code}")),
    })
}

/// One running instance of the module.
struct Instance {
    balancer: Balancer,
    /// Clock of the simulator, ns, at its start.
    started: u64,
    /// Number of profiles in its settings.
    profiles: usize,
}

impl Instance {
    /// The instance's own time, ms.
    fn ms(&self, clock: u64) -> f64 {
        clock.wrapping_sub(self.started) as i64 as f64 / NS_PER_MS
    }
}

/// All instances of this process, their tables of servers, and the buffers that replies are built in.
#[derive(Default)]
pub struct Adapter {
    instances: Vec<Option<Instance>>,
    tables: [Vec<u8>; 16],
    reply: Reply,
}

/// One frame, split into its parts.
struct Batch<'a> {
    clock: u64,
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Batch<'a> {
    fn parse(frame: &'a [u8]) -> Result<Self, String> {
        let count = integer::<4>(frame, 8) as usize;
        let body = &frame[BATCH_HEAD_BYTES..];
        let size = count.checked_mul(EVENT_BYTES).filter(|size| *size <= body.len());
        let size =
            size.ok_or_else(|| format!("frame: {count} records do not fit in {} bytes", body.len()))?;
        let (records, tail) = body.split_at(size);
        Ok(Self { clock: integer::<8>(frame, 0), records, tail })
    }

    fn len(&self) -> usize {
        self.records.len() / EVENT_BYTES
    }

    fn record(&self, at: usize) -> &'a [u8] {
        &self.records[at * EVENT_BYTES..(at + 1) * EVENT_BYTES]
    }

    fn code(&self, at: usize) -> u64 {
        integer::<2>(self.record(at), 0)
    }

    /// The part of the tail that the field at offset `field` of record `at` names, in units of `unit` bytes.
    fn tail(&self, at: usize, field: usize, unit: usize) -> Result<&'a [u8], String> {
        let record = self.record(at);
        let from = integer::<4>(record, field) as usize;
        let range: Range<usize> = from..from + integer::<4>(record, field + 4) as usize * unit;
        let shown = format!("event {at}: tail bytes {range:?} of {}", self.tail.len());
        self.tail.get(range).ok_or(shown)
    }
}

impl Adapter {
    /// Plays one frame and returns the reply to it.
    pub fn answer(&mut self, frame: &[u8]) -> Result<&[u8], String> {
        let batch = Batch::parse(frame)?;
        self.reply.clear();
        let mut instance_number = None;
        let mut at = 0;
        while at < batch.len() {
            match batch.code(at) {
                12 => instance_number = Some(integer::<2>(batch.record(at), 2) as usize),
                11 => store_table(&mut self.tables, &batch, at)?,
                1 => self.start_instance(&batch, at, instance_number)?,
                10 => {
                    let instance_number =
                        instance_number.ok_or_else(|| format!("event {at}: no instance named"))?;
                    let instance =
                        self.instances.get_mut(instance_number).filter(|instance| instance.is_some());
                    *instance.ok_or_else(|| {
                        format!("event {at}: instance {instance_number} was never started")
                    })? = None;
                }
                _ => {
                    at = self.play_round(&batch, at, instance_number)?;
                    continue;
                }
            }
            at += 1;
        }
        Ok(self.reply.finish())
    }

    /// Starts an instance with the settings in the tail.
    fn start_instance(
        &mut self,
        batch: &Batch,
        at: usize,
        instance_number: Option<usize>,
    ) -> Result<(), String> {
        let instance_number = instance_number.ok_or_else(|| format!("event {at}: no instance named"))?;
        let settings = pearfront_settings::parse(batch.tail(at, 10, 1)?)?;
        if self.instances.len() <= instance_number {
            self.instances.resize_with(instance_number + 1, || None);
        }
        let profiles = settings.profiles.len();
        let balancer = Balancer::new(settings, integer::<8>(batch.record(at), 2));
        self.instances[instance_number] = Some(Instance { balancer, started: batch.clock, profiles });
        Ok(())
    }

    /// One round of an instance: all its records up to the next instance, start or stop.
    fn play_round(
        &mut self,
        batch: &Batch,
        from: usize,
        instance_number: Option<usize>,
    ) -> Result<usize, String> {
        let instance_number = instance_number.ok_or_else(|| format!("event {from}: no instance named"))?;
        let instance = self.instances.get_mut(instance_number).and_then(Option::as_mut);
        let instance =
            instance.ok_or_else(|| format!("event {from}: instance {instance_number} was never started"))?;
        let now = instance.ms(batch.clock);
        let (started, profiles) = (instance.started, instance.profiles);
        let tables = &mut self.tables;
        let mut at = from;
        let feed = |balancer: &mut Balancer| {
            while at < batch.len() && !matches!(batch.code(at), 1 | 10 | 12) {
                if batch.code(at) == 11 {
                    store_table(tables, batch, at)?;
                } else {
                    pass_to_module(balancer, batch, at, started, profiles, tables)?;
                }
                at += 1;
            }
            Ok::<(), String>(())
        };
        self.reply.instance_number = instance_number as u16;
        instance.balancer.round(now, feed, &mut self.reply)?;
        Ok(at)
    }
}

/// Stores a table of servers, which later records refer to by its number.
fn store_table(tables: &mut [Vec<u8>; 16], batch: &Batch, at: usize) -> Result<(), String> {
    let number = integer::<4>(batch.record(at), 2) as usize;
    let entries = batch.tail(at, 6, ENTRY_BYTES)?;
    let table = tables.get_mut(number).ok_or_else(|| format!("event {at}: no table {number}"))?;
    table.clear();
    table.extend_from_slice(entries);
    for line in entries.chunks_exact(ENTRY_BYTES) {
        server_state(line[10]).ok_or_else(|| format!("event {at}: unknown status {}", line[10]))?;
    }
    Ok(())
}

fn server_state(code: u8) -> Option<ServerState> {
    match code {
        0 => Some(ServerState::Ready),
        1 => Some(ServerState::Gone),
        2 => Some(ServerState::Draining),
        _ => None,
    }
}

fn listed_server(line: &[u8], started: u64) -> ListedServer {
    let started_at = integer::<8>(line, 16);
    let weight = f64::from(f32::from_le_bytes(std::array::from_fn(|byte| line[byte])));
    ListedServer {
        address: address(line, 4),
        state: server_state(line[10]).unwrap_or(ServerState::Gone),
        cell: integer::<2>(line, 11) as u16,
        machine_type: usize::from(line[13]),
        zone: integer::<2>(line, 14) as u16,
        weight: Some(weight).filter(|weight| weight.is_normal() && *weight > 0.0).unwrap_or(1.0),
        started_at: match started_at {
            0 => f64::NEG_INFINITY,
            started_at => started_at.wrapping_sub(started) as i64 as f64 / NS_PER_MS,
        },
    }
}

/// Calls the module for one record.
fn pass_to_module(
    balancer: &mut Balancer,
    batch: &Batch,
    at: usize,
    started: u64,
    profiles: usize,
    tables: &[Vec<u8>; 16],
) -> Result<(), String> {
    let record = batch.record(at);
    let id = integer::<4>(record, 2) as u32;
    match batch.code(at) {
        2 => {
            let kind = record[2];
            let number = integer::<4>(record, 7) as usize;
            if kind == 3 {
                balancer.list_failed();
                return Ok(());
            }
            let table = tables.get(number).ok_or_else(|| format!("event {at}: no table {number}"))?;
            let lines = table.chunks_exact(ENTRY_BYTES).map(|line| listed_server(line, started));
            match kind {
                0 => balancer.list_received(false, false, lines),
                1 => balancer.list_received(true, false, lines),
                2 => balancer.list_received(true, true, lines),
                _ => return Err(format!("event {at}: unknown list kind {kind}")),
            }
        }
        3 => {
            let deadline = integer::<8>(record, 24).wrapping_sub(started) as i64 as f64 / NS_PER_MS;
            let (profile, customer) = (record[23] as usize, integer::<2>(record, 32) as usize);
            if profile >= profiles {
                return Err(format!("event {at}: unknown class {profile}"));
            }
            balancer.request_received(id, profile, customer, deadline);
        }
        5 => {
            let (attempt, took) =
                (integer::<2>(record, 6) as usize, integer::<8>(record, 15) as f64 / NS_PER_MS);
            balancer.attempt_ended(id, attempt, outcome(record[14], at)?, took, record[23] != 0);
        }
        6 => balancer.client_left(id),
        8 => {
            let succeeded = outcome(record[16], at)? == AttemptOutcome::Served;
            let count = usize::from(record[17]).min(4);
            let value =
                |field: usize| f32::from_le_bytes(std::array::from_fn(|b| record[18 + field * 4 + b]));
            let report: [f64; 4] = std::array::from_fn(|field| f64::from(value(field)));
            let took = integer::<8>(record, 8) as f64 / NS_PER_MS;
            balancer.probe_answered(address(record, 2), succeeded, &report[..count], took);
        }
        // Started streams, timers that are due and messages of peers change nothing here: it is the round itself that
        // counts.
        4 | 7 | 9 => {}
        code => return Err(format!("event {at}: unknown code {code}")),
    }
    Ok(())
}

/// The reply being built; the module writes its decisions into it.
#[derive(Default)]
struct Reply {
    /// The instance that the next actions belong to, and the one that was last written.
    instance_number: u16,
    written: Option<u16>,
    records: Vec<u8>,
    tail: Vec<u8>,
    frame: Vec<u8>,
}

impl Reply {
    fn clear(&mut self) {
        self.written = None;
        self.records.clear();
        self.tail.clear();
    }

    fn finish(&mut self) -> &[u8] {
        let count = (self.records.len() / ACTION_BYTES) as u32;
        self.frame.clear();
        self.frame.extend(((self.records.len() + self.tail.len()) as u32).to_le_bytes());
        self.frame.extend(count.to_le_bytes());
        self.frame.extend(&self.records);
        self.frame.extend(&self.tail);
        &self.frame
    }

    /// Adds an action, after a record that names its instance where that has changed.
    fn action(&mut self, code: u16, fields: &[&[u8]]) {
        if self.written != Some(self.instance_number) {
            self.written = Some(self.instance_number);
            let instance_number = self.instance_number;
            self.record(13, &[&instance_number.to_le_bytes()]);
        }
        self.record(code, fields);
    }

    fn record(&mut self, code: u16, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION_BYTES;
        self.records.extend(code.to_le_bytes());
        fields.iter().for_each(|field| self.records.extend(*field));
        self.records.resize(end, 0);
    }
}

impl DecisionWriter for Reply {
    fn attempt(&mut self, request: u32, server: Address, timeout: f64) {
        let timeout = ((timeout * NS_PER_MS).floor() as u64).max(1);
        self.action(1, &[&request.to_le_bytes(), &server, &timeout.to_le_bytes()]);
    }

    fn cancel(&mut self, request: u32, attempt: u16) {
        self.action(4, &[&request.to_le_bytes(), &attempt.to_le_bytes()]);
    }

    fn reject(&mut self, request: u32, retry_after: f64) {
        self.action(2, &[&request.to_le_bytes(), &((retry_after * NS_PER_MS) as u64).to_le_bytes()]);
    }

    fn fail(&mut self, request: u32) {
        self.action(3, &[&request.to_le_bytes()]);
    }

    fn probe(&mut self, server: Address) {
        self.action(6, &[&server]);
    }

    fn wake_after(&mut self, delay: f64) {
        let delay = (delay.min(LONGEST_WAKE_MS) * NS_PER_MS).ceil() as u64;
        self.action(5, &[&delay.to_le_bytes(), &0u64.to_le_bytes()]);
    }

    fn watch_list(&mut self) {
        self.action(11, &[&[1]]);
    }

    fn log(&mut self, line: &str) {
        let from = (self.tail.len() as u32).to_le_bytes();
        self.tail.extend(line.as_bytes());
        self.action(9, &[&from, &(line.len() as u32).to_le_bytes()]);
    }
}

#[cfg(test)]
mod tests;
