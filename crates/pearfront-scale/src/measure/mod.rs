//! What can be measured: one measurement at one size. Most are real cores in simulated time, whose counts and bytes are the
//! same each time for a seed; `hollow` and `chain` are on real sockets, and void where the rig was late. Processor time and
//! memory are the machine's.

pub mod caller;
pub mod chain;
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

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measurement {
    /// One module and one service, by servers; reports come with probes.
    Decision,
    /// The same where servers are asked before each draw.
    DecisionAsked,
    /// One module a service, by services called, five servers each.
    Services,
    /// Whole lists and single lines, by servers in the list.
    Lists,
    /// A service of a hundred servers, by callers.
    Callers,
    /// Joining at one time, and the cost of standing by, by members.
    Membership,
    /// A rack, a zone and a cut in membership, by members.
    MembershipLosses,
    /// Renewals of duties, by holders.
    Duties,
    /// Commits over three regions, by round trip between them, ms.
    Regions,
    /// Commits over three regions, by changes a second.
    Commits,
    /// One distributor, by its subscribers.
    Distribution,
    /// Hollow processes on real links with two real nodes among them, by members.
    Hollow,
    /// What a chain of real nodes adds to half of the calls, by depth.
    ChainMiddle,
    /// What it adds to ninety-nine in a hundred.
    ChainHundredth,
}

impl Measurement {
    /// Runs it at one size, in this process.
    ///
    /// # Errors
    /// What could not be done: a program that does not start, members that do not agree.
    pub fn run(self, size: usize, seconds: f64, seed: u64) -> Result<Point, String> {
        let (before, begin, cpu) = (memory_mb().0, Instant::now(), process_cpu());
        let mut point = Point { size: size as f64, ..Point::default() };
        match self {
            Measurement::Decision => decision::by_servers(&mut point, size, false, seconds, seed),
            Measurement::DecisionAsked => decision::by_servers(&mut point, size, true, seconds, seed),
            Measurement::Services => decision::by_services(&mut point, size, seconds, seed),
            Measurement::Lists => decision::lists(&mut point, size, seed),
            Measurement::Callers => decision::by_callers(&mut point, size, seconds, seed),
            Measurement::Membership => membership::standing(&mut point, size, seconds, seed),
            Measurement::MembershipLosses => membership::losses(&mut point, size, seconds, seed),
            Measurement::Duties => duties::by_holders(&mut point, size, seconds, seed),
            Measurement::Regions => voters::by_round_trip(&mut point, size, seconds, seed),
            Measurement::Commits => voters::by_rate(&mut point, size, seconds, seed),
            Measurement::Distribution => distribution::by_subscribers(&mut point, size, seconds, seed)?,
            Measurement::Hollow => hollow::by_members(&mut point, size, seconds, &rig::program()?)?,
            Measurement::ChainMiddle | Measurement::ChainHundredth => {
                let middle = self == Measurement::ChainMiddle;
                let asked = if middle { chain::Asked::Middle } else { chain::Asked::Hundredth };
                chain::by_depth(&mut point, size, seconds, seed, asked, &rig::program()?)?;
            }
        }
        point.cpu_s = process_cpu() - cpu;
        point.wall_s = begin.elapsed().as_secs_f64();
        point.peak_mb = (memory_mb().1 - before).max(0.0);
        Ok(point)
    }
}
