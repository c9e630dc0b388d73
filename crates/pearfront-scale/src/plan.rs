//! The file that says what is measured and what it is held against; unknown keys are refused.

use crate::fit::Form;
use crate::measure::Measurement;
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    /// Servers of the fleet that the target is.
    pub fleet: f64,
    #[serde(default)]
    pub series: Vec<Series>,
    /// What is held against a budget without a slope of its own: assumed, or carried by nothing.
    #[serde(default)]
    pub stated: Vec<Stated>,
}

/// One measurement at several sizes.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    pub measure: Measurement,
    /// What is varied, in words.
    pub by: String,
    pub sizes: Vec<usize>,
    /// Simulated time of each point, s.
    pub seconds: f64,
    /// Points of each size, each with a seed of its own.
    #[serde(default = "once")]
    pub repeats: u64,
    pub rows: Vec<Row>,
}

fn once() -> u64 {
    1
}

#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    pub name: String,
    pub figure: String,
    pub unit: String,
    pub form: Form,
    /// The target's number of what is varied.
    pub at: f64,
    /// Budget in the figure's own unit; none if there is none.
    pub budget: Option<f64>,
    /// Does what is varied grow with the fleet? Else the row fails at any size or at none.
    #[serde(default)]
    pub grows: bool,
    /// Bound on what is varied that the code has, whatever it costs.
    pub bound: Option<f64>,
    /// What carries it, by crate; `nothing` if nothing does.
    pub carried_by: String,
}

#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stated {
    pub name: String,
    pub figure: f64,
    pub unit: String,
    pub budget: f64,
    /// Fleet size at which it first fails.
    pub fails_at: Option<f64>,
    /// `assumed`, `sum` or `nothing carries it`, and why.
    pub how: String,
    pub carried_by: String,
}

impl Plan {
    /// # Errors
    /// The first mistake, by key and line.
    pub fn parse(text: &str) -> Result<Self, String> {
        let plan: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        for series in &plan.series {
            let by = &series.by;
            if series.sizes.len() < 2 || series.sizes.contains(&0) {
                return Err(format!("sizes of {by:?}: two or more, each above 0"));
            }
            if !series.sizes.windows(2).all(|pair| pair[0] < pair[1]) {
                return Err(format!("sizes of {by:?}: each above the one before"));
            }
            if series.repeats == 0 || series.seconds <= 0.0 || !series.seconds.is_finite() {
                return Err(format!("repeats and seconds of {by:?}: above 0"));
            }
        }
        if plan.fleet.is_finite() && plan.fleet > 0.0 { Ok(plan) } else { Err("fleet: above 0".into()) }
    }
}
