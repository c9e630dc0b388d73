//! Watches the memory of the nodes' processes, as the kernel counts it.

use super::{Node, Process, Runner};
use crate::clock;
use crate::record::Record;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between two looks.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Resident memory of a process, KiB; 0 once it has ended.
fn resident_kib(process: &Process) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.number)).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    resident.trim().trim_end_matches(" kB").parse().unwrap_or_default()
}

impl Node {
    fn resident_kib(&self) -> usize {
        let processes: Vec<Rc<Process>> = self.processes.borrow().clone();
        processes.iter().filter(|process| !process.ended.get()).map(|process| resident_kib(process)).sum()
    }
}

impl Runner {
    /// Records each new peak of a node, until dropped.
    pub(super) async fn watch_memory(self: Rc<Self>) {
        let mut peaks = vec![0; self.nodes.len()];
        loop {
            for (node, peak) in peaks.iter_mut().enumerate() {
                let kib = self.nodes[node].resident_kib();
                if kib > *peak {
                    *peak = kib;
                    self.recorder.write(&Record::Memory { node, kib, at: clock::now() });
                }
            }
            sleep(WATCH_INTERVAL).await;
        }
    }
}
