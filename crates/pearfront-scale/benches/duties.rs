//! Measures the cost of a thousand duties with three hundred processes as holders and candidates: lease renewals, disk syncs,
//! bytes, and the processor time of the leader. Three voters and all processes run in one thread, over a network without delay;
//! run by `make bench-duties`.

use pearfront_scale::Point;
use pearfront_scale::measure::duties::{World, measure};

const DUTIES: usize = 1000;
const PROCESSES: usize = 300;
/// Simulated time over which figures are taken, s.
const DURATION_S: f64 = 120.0;

fn main() {
    let mut point = Point::default();
    measure(&mut point, World::new(DUTIES, PROCESSES), DURATION_S, PROCESSES as f64);
    println!("duties={DUTIES} processes={PROCESSES}");
    for (figure, value) in &point.figures {
        println!("{figure}={value:.3}");
    }
}
