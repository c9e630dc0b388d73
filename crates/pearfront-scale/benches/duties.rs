//! What a thousand duties cost that three hundred processes hold and want: renewals, syncs, bytes, and the processor's time
//! of whoever leads. Three voters and all processes in one thread, the network at once; `make bench-duties`.

use pearfront_scale::Point;
use pearfront_scale::measure::duties::{World, measure};

const DUTIES: usize = 1000;
const PROCESSES: usize = 300;
/// Simulated time that the figures are of, s.
const LENGTH: f64 = 120.0;

fn main() {
    let mut point = Point::default();
    measure(&mut point, World::new(DUTIES, PROCESSES), LENGTH, PROCESSES as f64);
    println!("duties={DUTIES} processes={PROCESSES}");
    for (figure, value) in &point.figures {
        println!("{figure}={value:.3}");
    }
}
