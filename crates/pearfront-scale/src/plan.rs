//! The plan file of `pearfront scale` (TOML): what is measured, at which sizes, and against which budgets. Unknown keys are
//! rejected.

use crate::fit::Form;
use crate::measure::Measurement;
use serde::{Deserialize, Serialize};

/// A whole plan file.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    /// Servers of the target fleet.
    pub fleet: f64,
    #[serde(default)]
    pub series: Vec<Series>,
    /// Figures that are compared with a budget without a measured slope: assumed, or provided by no component.
    #[serde(default)]
    pub stated: Vec<Stated>,
}

/// One measurement at several sizes.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    pub measure: Measurement,
    /// Name of the quantity that is varied.
    pub by: String,
    pub sizes: Vec<usize>,
    /// Simulated time (or real time, on real sockets) of each point, s.
    pub seconds: f64,
    /// Points for each size, each with its own seed.
    #[serde(default = "default_repeats")]
    pub repeats: u64,
    pub rows: Vec<Row>,
}

fn default_repeats() -> u64 {
    1
}

/// A figure of a series with its expected growth, budget and bound.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    pub name: String,
    pub figure: String,
    pub unit: String,
    pub form: Form,
    /// Value of the varied quantity at the target.
    pub at: f64,
    /// Budget in the unit of the figure, if there is one.
    pub budget: Option<f64>,
    /// Whether the varied quantity grows with the fleet. If not, the row fails at every fleet size or at none.
    #[serde(default)]
    pub grows: bool,
    /// Hard limit that the code sets on the varied quantity, whatever the cost.
    pub bound: Option<f64>,
    /// Crate that provides the function; `nothing` if none does.
    pub carried_by: String,
}

/// A figure that is stated in the plan instead of measured.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stated {
    pub name: String,
    pub figure: f64,
    pub unit: String,
    pub budget: f64,
    /// Smallest fleet size at which it fails.
    pub fails_at: Option<f64>,
    /// Origin of the figure (`assumed`, `sum` or `nothing carries it`) and the reason.
    pub how: String,
    pub carried_by: String,
}

impl Plan {
    /// Parses and validates a plan.
    ///
    /// # Errors
    /// The first mistake, with its key.
    pub fn parse(text: &str) -> Result<Self, String> {
        let plan: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        for series in &plan.series {
            let by = &series.by;
            if series.sizes.len() < 2 || series.sizes.contains(&0) {
                return Err(format!("sizes of {by:?}: two or more are needed, each above 0"));
            }
            if !series.sizes.windows(2).all(|pair| pair[0] < pair[1]) {
                return Err(format!("sizes of {by:?}: each must be above the one before"));
            }
            if series.repeats == 0 || series.seconds <= 0.0 || !series.seconds.is_finite() {
                return Err(format!("repeats and seconds of {by:?}: must be above 0"));
            }
        }
        if plan.fleet.is_finite() && plan.fleet > 0.0 {
            Ok(plan)
        } else {
            Err("fleet: must be above 0".into())
        }
    }
}
