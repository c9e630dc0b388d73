//! The measurements, each run at one size by `pearfront scale-point`. Most run the real protocol cores in simulated time, so
//! that counts and bytes are the same for each run with one seed. `hollow` and `chain` use real sockets, and their points are
//! void if the measuring process ran late. Processor time and memory depend on the machine.

pub mod chain;
pub mod client;
pub mod decision;
pub mod distribution;
pub mod duties;
pub mod hollow;
pub mod membership;
pub mod rig;
pub mod voters;

use crate::Point;
use crate::clock::{memory_mb, process_cpu};
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// What is measured; a plan names it in kebab case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measurement {
    /// One decision module and one service, by servers; load reports arrive with probes.
    Decision,
    /// The same, with servers probed before each draw.
    #[serde(rename = "decision-asked")]
    DecisionWithProbes,
    /// One decision module per service, by number of services called, with five servers each.
    Services,
    /// Full server lists and single-line updates, by servers in the list.
    Lists,
    /// A service of a hundred servers, by clients.
    #[serde(rename = "callers")]
    Clients,
    /// A simultaneous join and the steady-state cost, by members.
    Membership,
    /// Loss of a rack, loss of a zone, and a network partition, by members.
    MembershipLosses,
    /// Lease renewals of duties, by holders.
    Duties,
    /// Commits across three regions, by the round-trip time between them, ms.
    Regions,
    /// Commits across three regions, by changes per second.
    Commits,
    /// One distributor, by its subscribers.
    Distribution,
    /// Members without request handling on real connections, with two real nodes among them, by members.
    Hollow,
    /// Median latency that a chain of real nodes adds, by depth.
    #[serde(rename = "chain-middle")]
    ChainMedian,
    /// 99th-percentile latency that it adds.
    #[serde(rename = "chain-hundredth")]
    ChainP99,
}

impl Measurement {
    /// Runs the measurement at one size, in this process.
    ///
    /// # Errors
    /// The failed step, such as a program that does not start or members that do not agree.
    pub fn run(self, size: usize, seconds: f64, seed: u64) -> Result<Point, String> {
        let (before, begin, cpu) = (memory_mb().0, Instant::now(), process_cpu());
        let mut point = Point { size: size as f64, ..Point::default() };
        match self {
            Measurement::Decision => decision::by_servers(&mut point, size, false, seconds, seed),
            Measurement::DecisionWithProbes => decision::by_servers(&mut point, size, true, seconds, seed),
            Measurement::Services => decision::by_services(&mut point, size, seconds, seed),
            Measurement::Lists => decision::lists(&mut point, size, seed),
            Measurement::Clients => decision::by_clients(&mut point, size, seconds, seed),
            Measurement::Membership => membership::steady_state(&mut point, size, seconds, seed),
            Measurement::MembershipLosses => membership::losses(&mut point, size, seconds, seed),
            Measurement::Duties => duties::by_holders(&mut point, size, seconds, seed),
            Measurement::Regions => voters::by_round_trip(&mut point, size, seconds, seed),
            Measurement::Commits => voters::by_rate(&mut point, size, seconds, seed),
            Measurement::Distribution => distribution::by_subscribers(&mut point, size, seconds, seed)?,
            Measurement::Hollow => hollow::by_members(&mut point, size, seconds, &rig::node_program()?)?,
            Measurement::ChainMedian | Measurement::ChainP99 => {
                let median = self == Measurement::ChainMedian;
                let quantile = if median { chain::Quantile::Median } else { chain::Quantile::P99 };
                chain::by_depth(&mut point, size, seconds, seed, quantile, &rig::node_program()?)?;
            }
        }
        point.cpu_s = process_cpu() - cpu;
        point.wall_s = begin.elapsed().as_secs_f64();
        point.peak_mb = (memory_mb().1 - before).max(0.0);
        Ok(point)
    }
}
