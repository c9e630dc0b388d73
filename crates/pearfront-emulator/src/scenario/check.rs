//! Validation of a scenario: every value must be within its bounds and every name known. Reports the first
//! mistake with its key.

use super::{Rate, Scenario, Tier, Trouble, What};

impl Scenario {
    /// Returns the first mistake in file order: its key, and what is wrong.
    pub(super) fn check(&self) -> Result<(), (String, String)> {
        above("length_s", self.length_s, 0.0, 86_400.0)?;
        self.check_lists()?;
        self.check_network()?;
        self.check_kinds()?;
        self.tiers.iter().enumerate().try_for_each(|(at, tier)| self.check_tier(at, tier))?;
        self.check_profiles()?;
        self.check_customers()?;
        self.check_clients()?;
        self.check_surroundings()?;
        self.check_recorded()?;
        self.troubles.iter().enumerate().try_for_each(|(at, trouble)| self.check_trouble(at, trouble))
    }

    fn check_lists(&self) -> Result<(), (String, String)> {
        non_empty("zones", self.zones.len())?;
        non_empty("kinds", self.kinds.len())?;
        non_empty("tiers", self.tiers.len())?;
        non_empty("profiles", self.profiles.len())?;
        non_empty("customers", self.customers.len())?;
        distinct("zones", self.zones.iter().map(String::as_str))?;
        distinct("kinds", self.kinds.iter().map(|kind| kind.name.as_str()))?;
        distinct("tiers", self.tiers.iter().map(|tier| tier.name.as_str()))?;
        distinct("profiles", self.profiles.iter().map(|profile| profile.name.as_str()))?;
        distinct("customers", self.customers.iter().map(|customer| customer.name.as_str()))
    }

    fn check_network(&self) -> Result<(), (String, String)> {
        for (key, value) in [
            ("network.hop_ms", self.network.hop_ms),
            ("network.cross_ms", self.network.cross_ms),
            ("network.caller_ms", self.network.caller_ms),
        ] {
            within(key, value, 0.0, 1000.0)?;
        }
        within("network.jitter", self.network.jitter, 0.0, 10.0)
    }

    fn check_kinds(&self) -> Result<(), (String, String)> {
        for (at, kind) in self.kinds.iter().enumerate() {
            above(&format!("kinds[{at}].cores"), kind.cores, 0.0, 1024.0)?;
            above(&format!("kinds[{at}].speed"), kind.speed, 0.0, 1000.0)?;
            above(&format!("kinds[{at}].share"), kind.share, 0.0, 1e9)?;
        }
        Ok(())
    }

    fn check_profiles(&self) -> Result<(), (String, String)> {
        for (at, profile) in self.profiles.iter().enumerate() {
            let key = |name: &str| format!("profiles[{at}].{name}");
            above(&key("latency_target_ms"), profile.latency_target_ms, 0.0, 3.6e6)?;
            within(&key("deadline_ms"), profile.deadline_ms, profile.latency_target_ms, 3.6e6)?;
            above(&key("gain"), profile.gain, 0.0, 1e9)?;
            above(&key("share"), profile.share, 0.0, 1e9)?;
            above(&key("work_ms"), profile.work_ms, 0.0, 1e6)?;
            within(&key("work_spread"), profile.work_spread, 0.0, 10.0)?;
            above(&key("window_s"), profile.window_s, 0.0, 86_400.0)?;
        }
        Ok(())
    }

    fn check_customers(&self) -> Result<(), (String, String)> {
        for (at, customer) in self.customers.iter().enumerate() {
            above(&format!("customers[{at}].share"), customer.share, 0.0, 1e9)?;
            above(&format!("customers[{at}].quota_per_s"), customer.quota_per_s, 0.0, 1e9)?;
        }
        Ok(())
    }

    fn check_recorded(&self) -> Result<(), (String, String)> {
        if self.recorded.windows(2).any(|pair| pair[1].0 <= pair[0].0) {
            return Err(("recorded".into(), "its seconds must rise".into()));
        }
        if self
            .recorded
            .iter()
            .any(|point| !(0.0..=1.0).contains(&point.1) || !(0.0..self.length_s).contains(&point.0))
        {
            return Err((
                "recorded".into(),
                "a point is not within the play, or no service from 0 to 1".into(),
            ));
        }
        Ok(())
    }

    fn check_tier(&self, at: usize, tier: &Tier) -> Result<(), (String, String)> {
        let key = |name: &str| format!("tiers[{at}].{name}");
        within(&key("servers"), tier.servers as f64, 1.0, 20_000.0)?;
        above(&key("work"), tier.work, 0.0, 1000.0)?;
        within(&key("cells"), f64::from(tier.cells), 1.0, 60_000.0)?;
        let last = at + 1 == self.tiers.len();
        if last && tier.calls > 0 {
            return Err((key("calls"), "the last tier has nobody to call".into()));
        }
        if !last && tier.calls == 0 {
            return Err((key("calls"), "must be at least 1, or the next tier gets no work".into()));
        }
        within(&key("calls"), f64::from(tier.calls), 0.0, 100.0)?;
        let behaviour = &tier.server;
        let key = |name: &str| format!("tiers[{at}].server.{name}");
        within(&key("slots"), behaviour.slots, 1.0, 10_000.0)?;
        above(&key("cold_from"), behaviour.cold_from, 0.0, 1.0)?;
        within(&key("warm_up_s"), behaviour.warm_up_s, 0.0, 3600.0)?;
        above(&key("crowded_at"), behaviour.crowded_at, 0.0, 1e6)?;
        within(&key("calm_at"), behaviour.calm_at, 0.0, behaviour.crowded_at)?;
        above(&key("crowded_speed"), behaviour.crowded_speed, 0.0, 1.0)?;
        within(&key("pause_every_s"), behaviour.pause_every_s, 0.0, 86_400.0)?;
        within(&key("pause_ms"), behaviour.pause_ms, 0.0, 60_000.0)?;
        within(&key("connections"), behaviour.connections as f64, 1.0, 1e6)?;
        within(&key("connect_work_ms"), behaviour.connect_work_ms, 0.0, 1000.0)?;
        above(&key("idle_s"), behaviour.idle_s, 0.0, 86_400.0)?;
        above(&key("report_ms"), behaviour.report_ms, 0.0, 60_000.0)?;
        within(&key("probe_work_ms"), behaviour.probe_work_ms, 0.0, 1000.0)
    }

    fn check_clients(&self) -> Result<(), (String, String)> {
        if let Rate::Curve(points) = &self.clients.rate {
            non_empty("callers.rate", points.len())?;
            if points.windows(2).any(|pair| pair[1].0 <= pair[0].0) {
                return Err(("callers.rate".into(), "its seconds must rise".into()));
            }
            if points.iter().any(|point| !(point.1 >= 0.0 && point.1.is_finite())) {
                return Err(("callers.rate".into(), "a rate is no number of at least 0".into()));
            }
        }
        above("callers.rate", self.clients.rate.most(), 0.0, 1e6)?;
        let shares = &self.clients.zone_shares;
        if !shares.is_empty() && shares.len() != self.zones.len() {
            let what = format!("has {} entries for {} zones", shares.len(), self.zones.len());
            return Err(("callers.zone_shares".into(), what));
        }
        if shares.iter().any(|share| !(0.0..1e9).contains(share))
            || !shares.is_empty() && shares.iter().sum::<f64>() <= 0.0
        {
            return Err(("callers.zone_shares".into(), "needs shares of at least 0, not all 0".into()));
        }
        within("callers.retries", f64::from(self.clients.retries), 0.0, 20.0)?;
        within("callers.retry_share", self.clients.retry_share, 0.0, 1.0)?;
        within("callers.backoff_ms", self.clients.backoff_ms, 0.0, 60_000.0)?;
        within("callers.heed_advice", self.clients.heed_advice, 0.0, 1.0)?;
        within("callers.impatient", self.clients.impatient, 0.0, 1.0)?;
        within("callers.notice_s", self.clients.notice_s, 0.0, 600.0)
    }

    fn check_surroundings(&self) -> Result<(), (String, String)> {
        within("nodes.count", self.nodes.count as f64, 1.0, 10_000.0)?;
        within("nodes.most_attempts", f64::from(self.nodes.most_attempts), 1.0, 100.0)?;
        within("nodes.advice_s", self.nodes.advice_s, 0.0, 600.0)?;
        above("nodes.round_ms", self.nodes.round_ms, 0.0, 1000.0)?;
        above("nodes.connect_ms", self.nodes.connect_ms, 0.0, 60_000.0)?;
        above("nodes.idle_s", self.nodes.idle_s, 0.0, 86_400.0)?;
        within("nodes.memory_mb", self.nodes.memory_mb, 32.0, 65_536.0)?;
        within("nodes.sockets", self.nodes.sockets, 64.0, 1e6)?;
        let (soonest, latest) = self.discovery.late_ms;
        within("discovery.late_ms", soonest, 0.0, latest)?;
        within("discovery.late_ms", latest, soonest, 600_000.0)?;
        above("discovery.lines_per_s", self.discovery.lines_per_s, 0.0, 1e9)?;
        above("discovery.timeout_ms", self.discovery.timeout_ms, 0.0, 600_000.0)?;
        above("discovery.ask_within_s", self.discovery.ask_within_s, 0.0, 3600.0)?;
        above("rules.tip_multiple", self.rules.tip_multiple, 0.0, 1e6)?;
        above("rules.tip_window_s", self.rules.tip_window_s, 0.0, 3600.0)?;
        within("rules.tip_chance", self.rules.tip_chance, 0.0, 1e9)?;
        within("goal.excess_gain", self.goal.excess_gain, 0.0, 1.0)?;
        within("goal.whole", self.goal.whole, 0.0, 1.0)?;
        within("goal.worst_profile", self.goal.worst_profile, 0.0, 1.0)?;
        within("goal.worst_customer", self.goal.worst_customer, 0.0, 1.0)?;
        within("rules.slack_ms", self.rules.slack_ms, 0.0, 10_000.0)?;
        within("rules.drain_grace_s", self.rules.drain_grace_s, 0.0, 600.0)
    }

    fn check_trouble(&self, at: usize, trouble: &Trouble) -> Result<(), (String, String)> {
        let key = |name: &str| format!("troubles[{at}].{name}");
        within(&key("at_s"), trouble.at_s, 0.0, self.length_s)?;
        above(&key("for_s"), trouble.for_s, 0.0, 86_400.0)?;
        known(&key("tier"), &trouble.tier, self.tiers.iter().map(|tier| &tier.name))?;
        known(&key("zone"), &trouble.zone, self.zones.iter())?;
        known(&key("kind"), &trouble.kind, self.kinds.iter().map(|kind| &kind.name))?;
        if let Some(part) = trouble.part {
            above(&key("part"), part, 0.0, 1.0)?;
            if trouble.count.is_some() {
                return Err((key("count"), "stands beside part: one of them says how many".into()));
            }
        }
        match trouble.what {
            What::FastErrors | What::LostAnswers => above(&key("by"), trouble.by(), 0.0, 1.0),
            _ => above(&key("by"), trouble.by(), 0.0, 1e6),
        }
    }
}

pub(crate) fn within(key: &str, value: f64, least: f64, most: f64) -> Result<(), (String, String)> {
    let fits = value >= least && value <= most;
    if fits { Ok(()) } else { Err((key.into(), format!("{value} is not between {least} and {most}"))) }
}

pub(crate) fn above(key: &str, value: f64, least: f64, most: f64) -> Result<(), (String, String)> {
    let fits = value > least && value <= most;
    if fits { Ok(()) } else { Err((key.into(), format!("{value} is not above {least} and at most {most}"))) }
}

fn known<'a>(
    key: &str,
    given: &Option<String>,
    mut there: impl Iterator<Item = &'a String>,
) -> Result<(), (String, String)> {
    let what = key.rsplit('.').next().unwrap_or(key);
    match given {
        Some(given) if !there.any(|name| name == given) => {
            Err((key.into(), format!("{given:?} is no {what} of this file")))
        }
        _ => Ok(()),
    }
}

fn non_empty(key: &str, count: usize) -> Result<(), (String, String)> {
    if count > 0 { Ok(()) } else { Err((key.into(), "must have an entry".into())) }
}

fn distinct<'a>(key: &str, names: impl Iterator<Item = &'a str>) -> Result<(), (String, String)> {
    let mut seen = Vec::new();
    for name in names {
        if seen.contains(&name) {
            return Err((key.into(), format!("{name:?} stands there twice")));
        }
        seen.push(name);
    }
    Ok(())
}
