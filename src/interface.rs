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
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

#[derive(Debug, Clone)]
pub struct Profile {
    /// What is learned of a profile goes on under its name when the settings change.
    pub name: String,
    pub effect: Effect,
    pub dedup_scope: DedupScope,
    pub dedup_window: f64,
    pub latency_target: f64,
    pub gain: f64,
}

#[derive(Debug, Clone, Default)]
pub struct Settings {
    pub node_count: f64,
    pub tier: usize,
    /// Servers of this tier call no further one: their errors are their own.
    pub last_tier: bool,
    /// The list tells the servers' sizes.
    pub weighted: bool,
    pub zone: u16,
    pub round_interval: f64,
    pub discovery_on_request: bool,
    pub list_request_deadline: f64,
    pub profiles: Vec<Profile>,
    /// Jobs a second that each customer may send, over all nodes.
    pub quotas: Vec<f64>,
    pub over_quota_gain: f64,
    pub gain_per_work: bool,
    pub cross_zone_price: f64,
    pub probe_price: f64,
    pub max_attempts: usize,
    pub may_hedge: bool,
    pub may_cancel: bool,
    pub may_probe: bool,
    /// Longest advice to stay away that clients follow; 0 if they are told none.
    pub max_retry_after: f64,
    pub warm_up_time: f64,
    pub cold_capacity_share: f64,
    pub overload_multiple: f64,
    pub overload_window: f64,
    /// A server that is gone without having drained may still be sent to.
    pub may_send_to_removed: bool,
    /// Attempts beyond each job's first that are allowed within `further_span`, ms: so many, and a share of the jobs
    /// taken in it. Infinite where no rule says so.
    pub retry_budget_free: f64,
    pub retry_budget_ratio: f64,
    pub retry_budget_span: f64,
    /// The load report's values, in order.
    pub report: Vec<ReportField>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportField {
    Utilization,
    Outstanding,
    Backlog,
    Other,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One line of the server list.
#[derive(Debug, Default, Clone, Copy)]
pub struct ServerEntry {
    pub address: Address,
    pub state: ServerState,
    pub cell: u16,
    pub zone: u16,
    /// Which kind of machine it is.
    pub machine_type: usize,
    /// What it bears beside others, roughly; 1 where the list does not say.
    pub weight: f64,
    /// Its latest start; negative infinity if long ago.
    pub started_at: f64,
}

impl ServerEntry {
    /// The line of a server that is not there any more.
    pub fn gone(self) -> Self {
        Self { state: ServerState::Gone, ..self }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    Served,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    ConnectionLost,
    Cancelled,
    NeverSent,
}

impl AttemptOutcome {
    /// Proof that the job did not run by this attempt.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Full | AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent)
    }
}

/// Takes the decisions as they are made.
pub trait DecisionWriter {
    /// Sends the job to the server; without an answer within `limit` the attempt times out.
    fn attempt(&mut self, job: u32, server: Address, limit: f64);
    fn cancel(&mut self, job: u32, attempt: u16);
    fn reject(&mut self, job: u32, wait: f64);
    fn fail(&mut self, job: u32);
    fn probe(&mut self, server: Address);
    /// Asks for a round in `delay` or soon after.
    fn wake_after(&mut self, delay: f64);
    /// Asks for the list and its changes.
    fn watch_list(&mut self);
    fn log(&mut self, line: &str);
}
