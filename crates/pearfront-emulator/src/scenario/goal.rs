//! What a rehearsal is judged by: the figures of the rules, and what the parts of the goal weigh.

use serde::Deserialize;

/// Figures of the four rules.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Time after the limit in which an answer still counts as given.
    pub slack_ms: f64,
    pub drain_grace_s: f64,
    /// A cold server that is sent more than this multiple of its present capacity over the window falls over.
    pub tip_multiple: f64,
    pub tip_window_s: f64,
    /// Beyond the N requests of mean work that this comes to, so many times (root of N + 1) count as chance.
    pub tip_chance: f64,
}

impl Rules {
    /// Work, ms, that a server of this capacity (ms of work a ms) bears while cold within the window, where a request
    /// brings `mean_work` in the mean.
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

/// What the parts of the goal weigh, as nodes are told it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Goal {
    pub whole: f64,
    pub worst_profile: f64,
    pub worst_customer: f64,
    /// What a job beyond its customer's quota is worth, as a share.
    pub excess_gain: f64,
}

impl Default for Goal {
    fn default() -> Self {
        Self { whole: 0.7, worst_profile: 0.2, worst_customer: 0.1, excess_gain: 1.0 }
    }
}
