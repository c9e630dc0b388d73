//! Measures the cost of each component by size; used by `pearfront scale`. A measurement runs at several sizes, each in its
//! own process. A least-squares fit gives the slope with its range and error, and a row compares the fitted cost at the target
//! size with its budget.
//!
//! `plan` reads the plan file, `measure` runs one measurement at one size, `fit` fits the slopes, `rank` evaluates and orders
//! the rows, and `show` renders tables and plots.

pub mod clock;
pub mod fit;
pub mod measure;
pub mod plan;
pub mod rank;
pub mod show;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Result of one measurement at one size.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    pub size: f64,
    pub figures: BTreeMap<String, f64>,
    /// Processor time and wall-clock time of the whole point, s. They differ if other work shared the machine.
    pub cpu_s: f64,
    pub wall_s: f64,
    /// Peak resident memory of the point's process above its resident memory at the start, MB.
    pub peak_mb: f64,
    /// Why the point is void: the measuring process itself ran late.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub void: Option<String>,
}

impl Point {
    /// Records a figure under its name.
    pub fn set(&mut self, figure: &str, value: f64) {
        self.figures.insert(figure.into(), value);
    }

    /// Share of the wall-clock time for which the point had a core; below 1, other work used it for the rest.
    pub fn share(&self) -> f64 {
        if self.wall_s > 0.0 { (self.cpu_s / self.wall_s).min(1.0) } else { 1.0 }
    }
}
