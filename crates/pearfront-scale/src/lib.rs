//! What each part costs by size. A measurement runs at several sizes, each in a process of its own; slopes are by least
//! squares with their range and error; a row is a slope times the target's number, beside its budget.
//!
//! `plan` is the file, `measure` what is measured at one size, `fit` the slopes, `rank` the rows and their order, `show`
//! table and plots.

pub mod clock;
pub mod fit;
pub mod measure;
pub mod plan;
pub mod rank;
pub mod show;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What came of one measurement at one size.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    pub size: f64,
    pub figures: BTreeMap<String, f64>,
    /// Processor time of the whole point, and how long it took, s: apart, other work shared the machine.
    pub cpu_s: f64,
    pub wall_s: f64,
    /// Most memory that the point's process had beyond what it began with, MB.
    pub peak_mb: f64,
    /// Why it says nothing: the rig was late.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub void: Option<String>,
}

impl Point {
    pub fn set(&mut self, figure: &str, value: f64) {
        self.figures.insert(figure.into(), value);
    }

    /// Share of the time that the point had a core; under 1 others had it for the rest.
    pub fn share(&self) -> f64 {
        if self.wall_s > 0.0 { (self.cpu_s / self.wall_s).min(1.0) } else { 1.0 }
    }
}
