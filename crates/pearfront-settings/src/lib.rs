//! The one decoding of the settings that an instance is given: checks them, gives defaults and names the faulty
//! key. `decode` reads what the module decides by, `Surroundings` what a node on sockets needs beside it.

pub mod moving;

use pearfront::interface::{Effect, Group, Profile, ReportField, Settings};
use serde_json::Value;

const NS_PER_MS: f64 = 1e6;
/// Time, ms, for a connection to come up where the settings name none: a few round trips across a country.
const CONNECT_TIMEOUT: f64 = 500.0;
/// Time, ms, after which a server closes an idle connection where the settings name none.
const CONN_IDLE: f64 = 10_000.0;
/// Grace of drains where the settings don't tell it, ms: the least that any deployment gives.
const DRAIN_GRACE: f64 = 300.0;

/// A place in a JSON document, and its name for messages.
pub struct At<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> At<'a> {
    pub fn top(value: &'a Value, name: &str) -> Self {
        Self { value, path: name.into() }
    }

    pub fn needed(&self, key: &str) -> Result<At<'a>, String> {
        self.maybe(key).ok_or_else(|| format!("{}.{key} is missing", self.path))
    }

    /// What is absent or null is not there.
    pub fn maybe(&self, key: &str) -> Option<At<'a>> {
        let value = self.value.get(key).filter(|value| !value.is_null())?;
        Some(At { value, path: format!("{}.{key}", self.path) })
    }

    pub fn problem<T>(&self, what: impl std::fmt::Display) -> Result<T, String> {
        Err(format!("{} {what}", self.path))
    }

    /// A number of at least 0; no figure of the settings is below.
    pub fn number(&self) -> Result<f64, String> {
        let number = self.value.as_f64().filter(|number| *number >= 0.0);
        number.ok_or_else(|| format!("{} is no number of at least 0", self.path))
    }

    /// Where 0 would leave no room for anything.
    pub fn above_0(&self) -> Result<f64, String> {
        let number = self.number()?;
        if number > 0.0 { Ok(number) } else { self.problem("is not above 0") }
    }

    pub fn ms(&self) -> Result<f64, String> {
        Ok(self.number()? / NS_PER_MS)
    }

    pub fn text(&self) -> Result<&'a str, String> {
        self.value.as_str().ok_or_else(|| format!("{} is no text", self.path))
    }

    pub fn list(&self) -> Result<Vec<At<'a>>, String> {
        let list = self.value.as_array().ok_or_else(|| format!("{} is no list", self.path))?;
        let place = |(at, value)| At { value, path: format!("{}[{at}]", self.path) };
        Ok(list.iter().enumerate().map(place).collect())
    }

    pub fn number_or(&self, key: &str, default: f64) -> Result<f64, String> {
        self.maybe(key).map_or(Ok(default), |at| at.number())
    }

    fn ms_or(&self, key: &str, default: f64) -> Result<f64, String> {
        self.maybe(key).map_or(Ok(default), |at| at.ms())
    }

    pub fn flag(&self) -> Result<bool, String> {
        self.value.as_bool().ok_or_else(|| format!("{} is neither true nor false", self.path))
    }

    fn yes(&self, key: &str) -> Result<bool, String> {
        self.maybe(key).map_or(Ok(false), |at| at.flag())
    }

    fn list_or_none(&self, key: &str) -> Result<Vec<At<'a>>, String> {
        self.maybe(key).map_or(Ok(Vec::new()), |at| at.list())
    }

    fn texts(&self, key: &str) -> Result<Vec<String>, String> {
        self.list_or_none(key)?.iter().map(|at| at.text().map(str::to_string)).collect()
    }

    fn names(&self, key: &str) -> Result<Vec<String>, String> {
        let name = |at: &At| at.needed("name")?.text().map(str::to_string);
        self.list_or_none(key)?.iter().map(name).collect()
    }
}

/// The first key that `now` lacks and `before` had. What has a default is no longer optional once it was named: a
/// file cut short in the right place would change it without a word. Of a list's items each is held to what all had.
pub fn missing_key(before: &Value, now: &Value, path: &str) -> Option<String> {
    match (before, now) {
        (Value::Object(before), Value::Object(now)) => before.iter().find_map(|(key, value)| {
            let path = format!("{path}.{key}");
            match now.get(key).filter(|now| !now.is_null() || value.is_null()) {
                Some(now) => missing_key(value, now, &path),
                None => Some(path),
            }
        }),
        (Value::Array(before), Value::Array(now)) => {
            let mut items = before.iter().filter_map(Value::as_object);
            let first = items.next()?;
            let rest: Vec<_> = items.collect();
            let keys = first.keys().filter(|key| rest.iter().all(|item| item.contains_key(*key)));
            let keys: Vec<_> = keys.collect();
            now.iter().enumerate().find_map(|(at, item)| {
                let missing = keys.iter().find(|key| item.get(key).is_none())?;
                Some(format!("{path}[{at}].{missing}"))
            })
        }
        _ => None,
    }
}

/// Settings as text, as the bench's wire has them.
pub fn parse(text: &[u8]) -> Result<Settings, String> {
    let json: Value = serde_json::from_slice(text).map_err(|error| format!("settings: {error}"))?;
    decode(&At::top(&json, "settings"))
}

pub fn decode(top: &At) -> Result<Settings, String> {
    let limits = top.needed("limits")?;
    let rules = top.needed("rules")?;
    let prices = top.needed("deductions")?;
    check_goal(top)?;
    let on_request = top.needed("discovery")?.text()? == "on_request";
    let quota = |customer: &At| customer.needed("quota_per_s")?.number();
    let tier = top.number_or("tier", 0.0)? as usize;
    let layers = top.texts("layers")?.len();
    if layers > 0 && tier >= layers {
        return top.needed("tier")?.problem(format!("is none of the {layers} layers"));
    }
    // One of the two is enough to state a budget: without a number that is free it is a share alone.
    let rationed = rules.maybe("budget_free").or(rules.maybe("extra_ratio")).is_some();
    Ok(Settings {
        siblings: top.needed("siblings")?.number()?.max(1.0),
        tier,
        last_tier: layers == tier + 1,
        sized: sized(top)?,
        zone: top.number_or("locality", 0.0)? as u16,
        round: top.needed("round")?.ms()?,
        listed_on_request: on_request,
        ask_within: if on_request { rules.needed("ask_within")?.ms()? } else { 0.0 },
        profiles: top.needed("profiles")?.list()?.iter().map(profile).collect::<Result<_, _>>()?,
        quotas: top.list_or_none("customers")?.iter().map(quota).collect::<Result<_, _>>()?,
        excess_gain: top.number_or("excess_gain", 1.0)?,
        gain_by_work: top.maybe("gain_basis").map_or(Ok(""), |at| at.text())? == "work",
        cross_zone_price: prices.number_or("cross_zone", 0.0)?,
        probe_price: prices.number_or("probe", 0.0)?,
        most_attempts: limits.needed("most_shots")?.above_0()?.ceil() as usize,
        second_copies: limits.yes("parallel_tries")?,
        may_call_off: limits.yes("cancel")?,
        may_probe: limits.yes("probes")?,
        longest_wait: if limits.yes("retry_after")? { limits.needed("max_retry_after")?.ms()? } else { 0.0 },
        cold_time: rules.needed("cold")?.ms()?,
        cold_share: rules.needed("cold_from")?.number()?,
        cold_multiple: rules.needed("tip_multiple")?.number()?,
        cold_window: rules.needed("overload_for")?.ms()?,
        gone_may_serve: rules.yes("removal_not_binding")?,
        further_free: rules.number_or("budget_free", if rationed { 0.0 } else { f64::INFINITY })?,
        further_ratio: rules.number_or("extra_ratio", 0.0)?,
        further_span: if rationed { rules.needed("resend_span")?.above_0()? / NS_PER_MS } else { 0.0 },
        report: top.needed("report")?.texts("fields")?.iter().map(|name| report_field(name)).collect(),
    })
}

/// What the parts of the goal weigh decides nothing; they must be figures all the same.
fn check_goal(top: &At) -> Result<(), String> {
    let goal = top.needed("objective_mix")?;
    for key in ["whole", "worst_class", "worst_tenant", "tail_part"] {
        goal.number_or(key, 0.0)?;
    }
    let slack = goal.number_or("tail_slack", 0.0)?;
    if slack <= 1.0 { Ok(()) } else { goal.needed("tail_slack")?.problem("is above 1") }
}

/// Does the list say what servers bear? Weights that follow load would count it twice.
fn sized(top: &At) -> Result<bool, String> {
    let Some(weights) = top.maybe("weights") else { return Ok(false) };
    match weights.text()? {
        "nominal" | "rough" => Ok(true),
        "none" | "live" => Ok(false),
        other => weights.problem(format!("{other:?} is unknown")),
    }
}

fn profile(at: &At) -> Result<Profile, String> {
    let kind = at.needed("effect")?;
    let effect = match kind.text()? {
        "safe" => Effect::Idempotent,
        "keyed" => Effect::Keyed,
        "unsafe" => Effect::NonIdempotent,
        other => return kind.problem(format!("{other:?} is unknown")),
    };
    let group = match at.maybe("group") {
        None => Group::All,
        Some(group) => match group.text()? {
            "zone" => Group::Zone,
            "cell" => Group::Cell,
            "all" => Group::All,
            other => return group.problem(format!("{other:?} is unknown")),
        },
    };
    Ok(Profile {
        name: at.maybe("name").map_or(Ok(at.path.as_str()), |at| at.text())?.to_string(),
        effect,
        group,
        window: at.ms_or("window", 0.0)?,
        latency_target: at.needed("contract_time")?.above_0()? / NS_PER_MS,
        gain: at.needed("gain")?.number()?,
    })
}

fn report_field(name: &str) -> ReportField {
    match name {
        "utilization" => ReportField::Utilisation,
        "outstanding" => ReportField::Held,
        "backlog" => ReportField::Waiting,
        _ => ReportField::Other,
    }
}

/// What the settings say beside what the module decides by: names as they stand in messages, and limits of
/// connections. Lists are in the settings' order.
#[derive(Debug, Clone, Default)]
pub struct Surroundings {
    pub profiles: Vec<String>,
    pub customers: Vec<String>,
    pub zones: Vec<String>,
    pub makes: Vec<String>,
    pub report: Vec<String>,
    pub reports: bool,
    pub reports_in_answers: bool,
    pub connect_timeout: f64,
    pub conn_idle: f64,
    /// How long after its drain was told a server may still be sent something new, ms.
    pub drain_grace: f64,
    /// The longest that any profile's client waits.
    pub longest_deadline: f64,
}

impl Surroundings {
    pub fn decode(top: &At) -> Result<Self, String> {
        let limits = top.needed("limits")?;
        let report = top.needed("report")?;
        let via = report.maybe("via").map_or(Ok("none"), |at| at.text())?;
        if limits.number_or("streams_per_conn", 1.0)? < 1.0 {
            return limits.needed("streams_per_conn")?.problem("is below 1");
        }
        let deadline = |at: &At| Ok(at.needed("outer_limit")?.above_0()? / NS_PER_MS);
        let deadlines: Vec<f64> =
            top.needed("profiles")?.list()?.iter().map(deadline).collect::<Result<_, String>>()?;
        Ok(Self {
            profiles: top.names("profiles")?,
            customers: top.names("customers")?,
            zones: top.texts("azs")?,
            makes: top.texts("host_types")?,
            report: report.texts("fields")?,
            reports: via != "none",
            reports_in_answers: via == "answers",
            connect_timeout: limits.ms_or("connect_timeout", CONNECT_TIMEOUT)?,
            conn_idle: limits.ms_or("conn_idle", CONN_IDLE)?,
            drain_grace: top.needed("rules")?.ms_or("drain_grace", DRAIN_GRACE)?,
            longest_deadline: deadlines.into_iter().fold(0.0, f64::max),
        })
    }
}

#[cfg(test)]
mod tests;
