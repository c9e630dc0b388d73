//! Parameters by which a rehearsal is judged: the rules, and the weights of the objective.

use serde::Deserialize;

/// Parameters of the four rules.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Time after the deadline within which an answer still counts as in time.
    pub slack_ms: f64,
    pub drain_grace_s: f64,
    /// A cold server fails if it is sent more than this multiple of its current capacity within the window.
    pub tip_multiple: f64,
    pub tip_window_s: f64,
    /// If the budget amounts to N requests of mean work, this factor times (sqrt(N) + 1) more are allowed as
    /// random variation.
    pub tip_chance: f64,
}

impl Rules {
    /// Work, ms, that a cold server of this capacity (ms of work per ms) tolerates within the window, for
    /// requests of `mean_work` on average.
    pub fn cold_budget(&self, capacity: f64, mean_work: f64) -> f64 {
        let work = self.tip_multiple * capacity * self.tip_window_s * 1000.0;
        work + self.tip_chance * ((work * mean_work).sqrt() + mean_work)
    }
}

impl Default for Rules {
    fn default() -> Self {
        Self { slack_ms: 66.0, drain_grace_s: 3.0, tip_multiple: 4.0, tip_window_s: 2.0, tip_chance: 0.0 }
    }
}

/// Weights of the objective, as stated in the nodes' settings.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Goal {
    pub whole: f64,
    pub worst_profile: f64,
    pub worst_customer: f64,
    /// Value of a request beyond its customer's quota, as a share of its gain.
    pub excess_gain: f64,
}

impl Default for Goal {
    fn default() -> Self {
        Self { whole: 0.7, worst_profile: 0.2, worst_customer: 0.1, excess_gain: 1.0 }
    }
}
