//! Input and output types of the decision module: the settings it is given at its start, the entries of the server
//! list, the outcomes of attempts, and the trait that its decisions are written to. Used by every program that embeds
//! `policy::Balancer`. Times and durations are milliseconds, counted from the start of the instance.

/// A server's address; the module hands it back exactly as it came.
pub type Address = [u8; 6];

/// Whether a request of a profile may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Running it again does no harm.
    Idempotent,
    /// Servers drop repeats by the request's idempotency key, within a scope and a window.
    Keyed,
    /// It may run once at most.
    NonIdempotent,
}

/// The servers that recognise repeats of a keyed request: all, or those of the first server's zone or cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

/// A class of requests with common rules.
#[derive(Debug, Clone)]
pub struct Profile {
    /// What is learned of a profile is kept under this name when the settings change.
    pub name: String,
    pub effect: Effect,
    pub dedup_scope: DedupScope,
    /// How long servers remember an idempotency key, ms.
    pub dedup_window: f64,
    /// Time within which the client should have its answer, ms.
    pub latency_target: f64,
    /// Value of serving one request.
    pub gain: f64,
}

/// Everything that the module decides by; decoded and checked by `pearfront-settings`.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// Nodes of this tier, over which quotas and servers are shared.
    pub node_count: f64,
    /// 0 is the tier that clients call; higher ones are called by servers.
    pub tier: usize,
    /// Servers of this tier call no further tier: their errors are their own.
    pub last_tier: bool,
    /// The server list states the servers' weights.
    pub weighted: bool,
    /// This node's own zone.
    pub zone: u16,
    /// Time between two rounds, ms.
    pub round_interval: f64,
    /// The server list comes only when asked for; otherwise it is pushed.
    pub discovery_on_request: bool,
    /// Time within which the list must have been asked for, ms.
    pub list_request_deadline: f64,
    pub profiles: Vec<Profile>,
    /// Requests per second that each customer may send, over all nodes.
    pub quotas: Vec<f64>,
    /// Factor on the gain of requests above their customer's quota.
    pub over_quota_gain: f64,
    /// The profiles' gains are per unit of work, not per request.
    pub gain_per_work: bool,
    /// Points that an attempt to another zone costs.
    pub cross_zone_price: f64,
    /// Points that a probe costs.
    pub probe_price: f64,
    /// Attempts per request at the most.
    pub max_attempts: usize,
    /// A second attempt may be sent while the first is still out.
    pub may_hedge: bool,
    /// Attempts that are out may be cancelled.
    pub may_cancel: bool,
    pub may_probe: bool,
    /// Longest retry-after advice that clients follow, ms; 0 if they are given none.
    pub max_retry_after: f64,
    /// Time from a server's start until it has its full capacity, ms.
    pub warm_up_time: f64,
    /// Share of its capacity that a server has when it starts.
    pub cold_capacity_share: f64,
    /// A cold server becomes overloaded when it gets this multiple of its capacity for `overload_window`, ms.
    pub overload_multiple: f64,
    pub overload_window: f64,
    /// A server that left the list without having drained may still be sent to.
    pub may_send_to_removed: bool,
    /// Attempts beyond each request's first that are allowed within `retry_budget_span`, ms: a fixed number, and a
    /// share of the requests received within it. Infinite where the settings state no budget.
    pub retry_budget_free: f64,
    pub retry_budget_ratio: f64,
    pub retry_budget_span: f64,
    /// The values of a load report, in order.
    pub report: Vec<ReportField>,
}

/// What one value of a load report states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportField {
    /// Share of the server's processing capacity in use, a mean over some time.
    Utilization,
    /// Requests that the server holds at the moment.
    Outstanding,
    /// Requests that wait for the server to begin with them.
    Backlog,
    /// Not used.
    Other,
}

/// State of a server in the server list.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    #[default]
    Ready,
    /// It finishes what it has and must get nothing new.
    Draining,
    /// It is no longer in the list.
    Gone,
}

/// One entry of the server list.
#[derive(Debug, Default, Clone, Copy)]
pub struct ListedServer {
    pub address: Address,
    pub state: ServerState,
    pub cell: u16,
    pub zone: u16,
    /// Index of its machine type in the settings.
    pub machine_type: usize,
    /// Rough capacity relative to other servers; 1 where the list does not state it.
    pub weight: f64,
    /// Its latest start; negative infinity if long ago.
    pub started_at: f64,
}

impl ListedServer {
    /// The entry of the same server once it is no longer in the list.
    pub fn gone(self) -> Self {
        Self { state: ServerState::Gone, ..self }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer has come.
    Served,
    /// The server answered with an error.
    Error,
    /// The server turned the request away because it has no room.
    Full,
    TimedOut,
    /// No connection came up, or it ended before the request's last byte was written.
    ConnectFailed,
    /// The connection broke, or ended without a whole answer, after that.
    ConnectionLost,
    /// Cancelled, or ended without anything learned of the server.
    Cancelled,
    /// The attempt ended before the request was sent.
    NeverSent,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the request did not run by this attempt.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Full | AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent)
    }
}

/// Receives the decisions as they are made.
pub trait DecisionWriter {
    /// Sends the request to the server; without an answer within `timeout` ms the attempt times out.
    fn attempt(&mut self, request: u32, server: Address, timeout: f64);
    /// Cancels the request's attempt of that number, counted from 0.
    fn cancel(&mut self, request: u32, attempt: u16);
    /// Rejects a request that the client may safely retry, and advises it to wait `wait` ms.
    fn reject(&mut self, request: u32, wait: f64);
    /// Fails a request that may have run.
    fn fail(&mut self, request: u32);
    /// Asks the server for its load report.
    fn probe(&mut self, server: Address);
    /// Requests a round in `delay` ms or soon after.
    fn wake_after(&mut self, delay: f64);
    /// Asks discovery for the server list and its changes.
    fn watch_list(&mut self);
    fn log(&mut self, line: &str);
}
