//! Reads the wire's settings straight into the module's struct.

use pearfront::interface::{Effect, Figure, Group, Profile, Settings};
use serde_json::Value;

const NS_PER_MS: f64 = 1e6;

struct At<'a>(&'a Value, &'a str);

impl<'a> At<'a> {
    fn needed(&self, key: &str) -> Result<&'a Value, String> {
        self.0.get(key).ok_or_else(|| format!("settings: {}{key} is missing", self.1))
    }

    fn part(&self, key: &str, name: &'a str) -> Result<At<'a>, String> {
        Ok(At(self.needed(key)?, name))
    }

    fn number(&self, key: &str) -> Result<f64, String> {
        self.needed(key)?.as_f64().ok_or_else(|| format!("settings: {}{key} is no number", self.1))
    }

    fn ms(&self, key: &str) -> Result<f64, String> {
        Ok(self.number(key)? / NS_PER_MS)
    }

    fn text(&self, key: &str) -> Result<&'a str, String> {
        self.needed(key)?.as_str().ok_or_else(|| format!("settings: {}{key} is no text", self.1))
    }

    fn list(&self, key: &str) -> Result<&'a [Value], String> {
        let list = self.needed(key)?.as_array();
        list.map(Vec::as_slice).ok_or_else(|| format!("settings: {}{key} is no list", self.1))
    }

    fn number_or(&self, key: &str, default: f64) -> f64 {
        self.0.get(key).and_then(Value::as_f64).unwrap_or(default)
    }

    fn yes(&self, key: &str) -> bool {
        self.0.get(key).and_then(Value::as_bool).unwrap_or(false)
    }
}

pub fn decode(text: &[u8]) -> Result<Settings, String> {
    let json: Value = serde_json::from_slice(text).map_err(|error| format!("settings: {error}"))?;
    let top = At(&json, "");
    let limits = top.part("limits", "limits.")?;
    let rules = top.part("rules", "rules.")?;
    let prices = top.part("deductions", "deductions.")?;
    let goal = top.part("objective_mix", "objective_mix.")?;
    let report = top.part("report", "report.")?;
    let on_request = top.text("discovery")? == "on_request";
    let customers = json.get("customers").and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
    Ok(Settings {
        siblings: top.number("siblings")?.max(1.0),
        tier: top.number_or("tier", 0.0) as usize,
        zone: top.number_or("locality", 0.0) as u16,
        round: top.ms("round")?,
        listed_on_request: on_request,
        ask_within: if on_request { rules.ms("ask_within")? } else { 0.0 },
        profiles: top.list("profiles")?.iter().map(profile).collect::<Result<_, _>>()?,
        quotas: customers
            .iter()
            .map(|customer| At(customer, "customers[].").number("quota_per_s"))
            .collect::<Result<_, _>>()?,
        excess_gain: top.number_or("excess_gain", 1.0),
        gain_by_work: json.get("gain_basis").and_then(Value::as_str) == Some("work"),
        weight_whole: goal.number_or("whole", 1.0),
        weight_profile: goal.number_or("worst_class", 0.0),
        weight_customer: goal.number_or("worst_tenant", 0.0),
        cross_zone_price: prices.number_or("cross_zone", 0.0),
        probe_price: prices.number_or("probe", 0.0),
        most_shots: limits.number("most_shots")? as usize,
        second_copies: limits.yes("parallel_tries"),
        may_call_off: limits.yes("cancel"),
        may_probe: limits.yes("probes"),
        longest_wait: if limits.yes("retry_after") { limits.ms("max_retry_after")? } else { 0.0 },
        cold_time: rules.ms("cold")?,
        cold_share: rules.number("cold_from")?,
        cold_multiple: rules.number("tip_multiple")?,
        cold_window: rules.ms("overload_for")?,
        report: report.list("fields")?.iter().map(figure).collect(),
    })
}

fn profile(value: &Value) -> Result<Profile, String> {
    let at = At(value, "profiles[].");
    let effect = match at.text("effect")? {
        "safe" => Effect::Redoable,
        "keyed" => Effect::Labelled,
        "unsafe" => Effect::Irreversible,
        other => return Err(format!("settings: profiles[].effect {other:?} is unknown")),
    };
    let group = match value.get("group").and_then(Value::as_str) {
        Some("zone") => Group::Zone,
        Some("cell") => Group::Cell,
        Some("all") | None => Group::All,
        Some(other) => return Err(format!("settings: profiles[].group {other:?} is unknown")),
    };
    Ok(Profile {
        effect,
        group,
        window: at.number_or("window", 0.0) / NS_PER_MS,
        contract_time: at.ms("contract_time")?,
        gain: at.number("gain")?,
    })
}

fn figure(value: &Value) -> Figure {
    match value.as_str() {
        Some("utilization") => Figure::Utilisation,
        Some("outstanding") => Figure::Held,
        Some("backlog") => Figure::Waiting,
        _ => Figure::Other,
    }
}
