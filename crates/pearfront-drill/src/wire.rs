//! Frames of the bench's wire; its names, codes and units end here.

use pearfront::interface::{Address, AttemptOutcome, DecisionWriter, ListedServer, ServerState};
use pearfront::policy::Balancer;
use std::io::Read;
use std::ops::Range;

const EVENT: usize = 48;
const ACTION: usize = 24;
const ENTRY: usize = 24;
const BATCH_HEAD: usize = 12;
const NS_PER_MS: f64 = 1e6;
/// Longest time the wire's timer takes, ms (71 minutes).
const LONGEST_WAKE: f64 = 71.0 * 60_000.0;

/// Reads one frame's body; false at the end of input.
pub fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, String> {
    let mut size = [0; 4];
    let mut got = 0;
    while got < size.len() {
        match input.read(&mut size[got..]).map_err(|error| format!("input: {error}"))? {
            0 if got == 0 => return Ok(false),
            0 => return Err("input ends within a frame's length".into()),
            more => got += more,
        }
    }
    let length = BATCH_HEAD + u32::from_le_bytes(size) as usize;
    frame.clear();
    let read = input.take(length as u64).read_to_end(frame).map_err(|error| format!("input: {error}"))?;
    if read < length {
        return Err(format!("input ends within a frame: {read} of {length} bytes"));
    }
    Ok(true)
}

fn int<const N: usize>(bytes: &[u8], at: usize) -> u64 {
    let mut wide = [0; 8];
    wide[..N].copy_from_slice(&bytes[at..at + N]);
    u64::from_le_bytes(wide)
}

fn address(bytes: &[u8], at: usize) -> Address {
    std::array::from_fn(|byte| bytes[at + byte])
}

fn ending(code: u8, at: usize) -> Result<AttemptOutcome, String> {
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

struct Instance {
    balancer: Balancer,
    started: u64,
    /// How many profiles its settings have.
    profiles: usize,
}

impl Instance {
    fn ms(&self, clock: u64) -> f64 {
        clock.wrapping_sub(self.started) as i64 as f64 / NS_PER_MS
    }
}

/// All instances of this process, and the buffers that replies are built in.
#[derive(Default)]
pub struct Drill {
    instances: Vec<Option<Instance>>,
    tables: [Vec<u8>; 16],
    reply: Reply,
}

/// One frame, taken apart.
struct Batch<'a> {
    clock: u64,
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Batch<'a> {
    fn parse(frame: &'a [u8]) -> Result<Self, String> {
        let count = int::<4>(frame, 8) as usize;
        let body = &frame[BATCH_HEAD..];
        let size = count.checked_mul(EVENT).filter(|size| *size <= body.len());
        let size =
            size.ok_or_else(|| format!("frame: {count} records do not fit in {} bytes", body.len()))?;
        let (records, tail) = body.split_at(size);
        Ok(Self { clock: int::<8>(frame, 0), records, tail })
    }

    fn len(&self) -> usize {
        self.records.len() / EVENT
    }

    fn record(&self, at: usize) -> &'a [u8] {
        &self.records[at * EVENT..(at + 1) * EVENT]
    }

    fn code(&self, at: usize) -> u64 {
        int::<2>(self.record(at), 0)
    }

    /// The tail's part that the field at `place` of record `at` names, in units of `unit` bytes.
    fn tail(&self, at: usize, place: usize, unit: usize) -> Result<&'a [u8], String> {
        let record = self.record(at);
        let from = int::<4>(record, place) as usize;
        let range: Range<usize> = from..from + int::<4>(record, place + 4) as usize * unit;
        let shown = format!("event {at}: tail bytes {range:?} of {}", self.tail.len());
        self.tail.get(range).ok_or(shown)
    }
}

impl Drill {
    /// Plays one frame and returns the reply to it.
    pub fn answer(&mut self, frame: &[u8]) -> Result<&[u8], String> {
        let batch = Batch::parse(frame)?;
        self.reply.clear();
        let mut node = None;
        let mut at = 0;
        while at < batch.len() {
            match batch.code(at) {
                12 => node = Some(int::<2>(batch.record(at), 2) as usize),
                11 => keep_table(&mut self.tables, &batch, at)?,
                1 => self.boot(&batch, at, node)?,
                10 => {
                    let node = node.ok_or_else(|| format!("event {at}: no instance named"))?;
                    let place = self.instances.get_mut(node).filter(|place| place.is_some());
                    *place.ok_or_else(|| format!("event {at}: instance {node} was never started"))? = None;
                }
                _ => {
                    at = self.play(&batch, at, node)?;
                    continue;
                }
            }
            at += 1;
        }
        Ok(self.reply.finish())
    }

    fn boot(&mut self, batch: &Batch, at: usize, node: Option<usize>) -> Result<(), String> {
        let node = node.ok_or_else(|| format!("event {at}: no instance named"))?;
        let settings = pearfront_settings::parse(batch.tail(at, 10, 1)?)?;
        if self.instances.len() <= node {
            self.instances.resize_with(node + 1, || None);
        }
        let profiles = settings.profiles.len();
        let balancer = Balancer::new(settings, int::<8>(batch.record(at), 2));
        self.instances[node] = Some(Instance { balancer, started: batch.clock, profiles });
        Ok(())
    }

    /// One round of an instance: all its records up to the next instance, start or stop.
    fn play(&mut self, batch: &Batch, from: usize, node: Option<usize>) -> Result<usize, String> {
        let node = node.ok_or_else(|| format!("event {from}: no instance named"))?;
        let instance = self.instances.get_mut(node).and_then(Option::as_mut);
        let instance = instance.ok_or_else(|| format!("event {from}: instance {node} was never started"))?;
        let now = instance.ms(batch.clock);
        let (started, profiles) = (instance.started, instance.profiles);
        let tables = &mut self.tables;
        let mut at = from;
        let feed = |balancer: &mut Balancer| {
            while at < batch.len() && !matches!(batch.code(at), 1 | 10 | 12) {
                if batch.code(at) == 11 {
                    keep_table(tables, batch, at)?;
                } else {
                    hand_in(balancer, batch, at, started, profiles, tables)?;
                }
                at += 1;
            }
            Ok::<(), String>(())
        };
        self.reply.node = node as u16;
        instance.balancer.round(now, feed, &mut self.reply)?;
        Ok(at)
    }
}

fn keep_table(tables: &mut [Vec<u8>; 16], batch: &Batch, at: usize) -> Result<(), String> {
    let number = int::<4>(batch.record(at), 2) as usize;
    let entries = batch.tail(at, 6, ENTRY)?;
    let table = tables.get_mut(number).ok_or_else(|| format!("event {at}: no table {number}"))?;
    table.clear();
    table.extend_from_slice(entries);
    for line in entries.chunks_exact(ENTRY) {
        standing(line[10]).ok_or_else(|| format!("event {at}: unknown status {}", line[10]))?;
    }
    Ok(())
}

fn standing(code: u8) -> Option<ServerState> {
    match code {
        0 => Some(ServerState::Ready),
        1 => Some(ServerState::Gone),
        2 => Some(ServerState::Draining),
        _ => None,
    }
}

fn listing(line: &[u8], started: u64) -> ListedServer {
    let since = int::<8>(line, 16);
    let share = f64::from(f32::from_le_bytes(std::array::from_fn(|byte| line[byte])));
    ListedServer {
        address: address(line, 4),
        state: standing(line[10]).unwrap_or(ServerState::Gone),
        cell: int::<2>(line, 11) as u16,
        machine_type: usize::from(line[13]),
        zone: int::<2>(line, 14) as u16,
        weight: Some(share).filter(|share| share.is_normal() && *share > 0.0).unwrap_or(1.0),
        started_at: match since {
            0 => f64::NEG_INFINITY,
            since => since.wrapping_sub(started) as i64 as f64 / NS_PER_MS,
        },
    }
}

/// Calls the module for one record.
fn hand_in(
    balancer: &mut Balancer,
    batch: &Batch,
    at: usize,
    started: u64,
    profiles: usize,
    tables: &[Vec<u8>; 16],
) -> Result<(), String> {
    let record = batch.record(at);
    let id = int::<4>(record, 2) as u32;
    match batch.code(at) {
        2 => {
            let kind = record[2];
            let number = int::<4>(record, 7) as usize;
            if kind == 3 {
                balancer.list_failed();
                return Ok(());
            }
            let table = tables.get(number).ok_or_else(|| format!("event {at}: no table {number}"))?;
            let lines = table.chunks_exact(ENTRY).map(|line| listing(line, started));
            match kind {
                0 => balancer.list_received(false, false, lines),
                1 => balancer.list_received(true, false, lines),
                2 => balancer.list_received(true, true, lines),
                _ => return Err(format!("event {at}: unknown list kind {kind}")),
            }
        }
        3 => {
            let limit = int::<8>(record, 24).wrapping_sub(started) as i64 as f64 / NS_PER_MS;
            let (profile, customer) = (record[23] as usize, int::<2>(record, 32) as usize);
            if profile >= profiles {
                return Err(format!("event {at}: unknown class {profile}"));
            }
            balancer.request_received(id, profile, customer, limit);
        }
        5 => {
            let (attempt, took) = (int::<2>(record, 6) as usize, int::<8>(record, 15) as f64 / NS_PER_MS);
            balancer.attempt_ended(id, attempt, ending(record[14], at)?, took, record[23] != 0);
        }
        6 => balancer.client_left(id),
        8 => {
            let good = ending(record[16], at)? == AttemptOutcome::Served;
            let count = usize::from(record[17]).min(4);
            let value =
                |place: usize| f32::from_le_bytes(std::array::from_fn(|b| record[18 + place * 4 + b]));
            let report: [f64; 4] = std::array::from_fn(|place| f64::from(value(place)));
            let took = int::<8>(record, 8) as f64 / NS_PER_MS;
            balancer.probe_answered(address(record, 2), good, &report[..count], took);
        }
        // Started streams, due timers and peers' words change nothing here: the round itself is what counts.
        4 | 7 | 9 => {}
        code => return Err(format!("event {at}: unknown code {code}")),
    }
    Ok(())
}

/// The reply being built; the module writes its decisions into it.
#[derive(Default)]
struct Reply {
    node: u16,
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
        let count = (self.records.len() / ACTION) as u32;
        self.frame.clear();
        self.frame.extend(((self.records.len() + self.tail.len()) as u32).to_le_bytes());
        self.frame.extend(count.to_le_bytes());
        self.frame.extend(&self.records);
        self.frame.extend(&self.tail);
        &self.frame
    }

    fn action(&mut self, code: u16, fields: &[&[u8]]) {
        if self.written != Some(self.node) {
            self.written = Some(self.node);
            let node = self.node;
            self.record(13, &[&node.to_le_bytes()]);
        }
        self.record(code, fields);
    }

    fn record(&mut self, code: u16, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION;
        self.records.extend(code.to_le_bytes());
        fields.iter().for_each(|field| self.records.extend(*field));
        self.records.resize(end, 0);
    }
}

impl DecisionWriter for Reply {
    fn attempt(&mut self, job: u32, server: Address, limit: f64) {
        let limit = ((limit * NS_PER_MS).floor() as u64).max(1);
        self.action(1, &[&job.to_le_bytes(), &server, &limit.to_le_bytes()]);
    }

    fn cancel(&mut self, job: u32, attempt: u16) {
        self.action(4, &[&job.to_le_bytes(), &attempt.to_le_bytes()]);
    }

    fn reject(&mut self, job: u32, wait: f64) {
        self.action(2, &[&job.to_le_bytes(), &((wait * NS_PER_MS) as u64).to_le_bytes()]);
    }

    fn fail(&mut self, job: u32) {
        self.action(3, &[&job.to_le_bytes()]);
    }

    fn probe(&mut self, server: Address) {
        self.action(6, &[&server]);
    }

    fn wake_after(&mut self, delay: f64) {
        let delay = (delay.min(LONGEST_WAKE) * NS_PER_MS).ceil() as u64;
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
