//! What the decision module is given at its start, and where it writes its decisions.
//! Times and durations are milliseconds, counted from the start of the instance.

/// A server's address, handed back exactly as it came.
pub type Address = [u8; 6];

/// May a job of this profile run more than once?
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Keyed,
    NonIdempotent,
}

/// The servers that drop repeats of one keyed job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Debug, Clone)]
pub struct Profile {
    /// What is learned of a profile goes on under its name when the settings change.
    pub name: String,
    pub effect: Effect,
    pub group: Group,
    pub window: f64,
    pub latency_target: f64,
    pub gain: f64,
}

#[derive(Debug, Clone, Default)]
pub struct Settings {
    pub siblings: f64,
    pub tier: usize,
    /// Servers of this tier call no further one: their errors are their own.
    pub last_tier: bool,
    /// The list tells the servers' sizes.
    pub sized: bool,
    pub zone: u16,
    pub round: f64,
    pub listed_on_request: bool,
    pub ask_within: f64,
    pub profiles: Vec<Profile>,
    /// Jobs a second that each customer may send, over all nodes.
    pub quotas: Vec<f64>,
    pub excess_gain: f64,
    pub gain_by_work: bool,
    pub cross_zone_price: f64,
    pub probe_price: f64,
    pub most_attempts: usize,
    pub second_copies: bool,
    pub may_call_off: bool,
    pub may_probe: bool,
    /// Longest advice to stay away that clients follow; 0 if they are told none.
    pub longest_wait: f64,
    pub cold_time: f64,
    pub cold_share: f64,
    pub cold_multiple: f64,
    pub cold_window: f64,
    /// A server that is gone without having drained may still be sent to.
    pub gone_may_serve: bool,
    /// Attempts beyond each job's first that are allowed within `further_span`, ms: so many, and a share of the jobs
    /// taken in it. Infinite where no rule says so.
    pub further_free: f64,
    pub further_ratio: f64,
    pub further_span: f64,
    /// The load report's values, in order.
    pub report: Vec<ReportField>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportField {
    Utilisation,
    Held,
    Waiting,
    Other,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One line of the server list.
#[derive(Debug, Default, Clone, Copy)]
pub struct Listing {
    pub server: Address,
    pub standing: Standing,
    pub cell: u16,
    pub zone: u16,
    /// Which kind of machine it is.
    pub make: usize,
    /// What it bears beside others, roughly; 1 where the list does not say.
    pub size: f64,
    /// Its latest start; negative infinity if long ago.
    pub started: f64,
}

impl Listing {
    /// The line of a server that is not there any more.
    pub fn gone(self) -> Self {
        Self { standing: Standing::Gone, ..self }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    Served,
    Error,
    Full,
    TimedOut,
    Unconnected,
    Broken,
    CalledOff,
    NeverSent,
}

impl Ending {
    /// Proof that the job did not run by this attempt.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::Unconnected | Ending::NeverSent)
    }
}

/// Takes the decisions as they are made.
pub trait Writer {
    /// Sends the job to the server; without an answer within `limit` the attempt times out.
    fn attempt(&mut self, job: u32, server: Address, limit: f64);
    fn call_off(&mut self, job: u32, attempt: u16);
    fn reject(&mut self, job: u32, wait: f64);
    fn fail(&mut self, job: u32);
    fn probe(&mut self, server: Address);
    /// Asks for a round in `delay` or soon after.
    fn wake(&mut self, delay: f64);
    /// Asks for the list and its changes.
    fn watch(&mut self);
    fn log(&mut self, line: &str);
}
