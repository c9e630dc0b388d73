//! The one decoding of the settings that an instance is given: checks them, gives defaults and names the faulty
//! key. `decode` reads what the module decides by, `Surroundings` what a node on sockets needs beside it.

pub mod sidecar;

use pearfront::interface::{DedupScope, Effect, Profile, ReportField, Settings};
use serde_json::Value;

const NS_PER_MS: f64 = 1e6;
/// Time, ms, for a connection to come up where the settings name none: a few round trips across a country.
const CONNECT_TIMEOUT: f64 = 500.0;
/// Time, ms, after which a server closes an idle connection where the settings name none.
const CONN_IDLE: f64 = 10_000.0;
/// Grace of drains where the settings don't tell it, ms: the least that any deployment gives.
const DRAIN_GRACE: f64 = 300.0;

/// A place in a JSON document, and its name for messages.
pub struct JsonField<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> JsonField<'a> {
    pub fn root(value: &'a Value, name: &str) -> Self {
        Self { value, path: name.into() }
    }

    pub fn required(&self, key: &str) -> Result<JsonField<'a>, String> {
        self.optional(key).ok_or_else(|| format!("{}.{key} is missing", self.path))
    }

    /// What is absent or null is not there.
    pub fn optional(&self, key: &str) -> Option<JsonField<'a>> {
        let value = self.value.get(key).filter(|value| !value.is_null())?;
        Some(JsonField { value, path: format!("{}.{key}", self.path) })
    }

    pub fn error<T>(&self, what: impl std::fmt::Display) -> Result<T, String> {
        Err(format!("{} {what}", self.path))
    }

    /// A number of at least 0; no figure of the settings is below.
    pub fn number(&self) -> Result<f64, String> {
        let number = self.value.as_f64().filter(|number| *number >= 0.0);
        number.ok_or_else(|| format!("{} is no number of at least 0", self.path))
    }

    /// Where 0 would leave no room for anything.
    pub fn positive_number(&self) -> Result<f64, String> {
        let number = self.number()?;
        if number > 0.0 { Ok(number) } else { self.error("is not above 0") }
    }

    pub fn ms(&self) -> Result<f64, String> {
        Ok(self.number()? / NS_PER_MS)
    }

    pub fn string(&self) -> Result<&'a str, String> {
        self.value.as_str().ok_or_else(|| format!("{} is no text", self.path))
    }

    pub fn list(&self) -> Result<Vec<JsonField<'a>>, String> {
        let list = self.value.as_array().ok_or_else(|| format!("{} is no list", self.path))?;
        let place = |(at, value)| JsonField { value, path: format!("{}[{at}]", self.path) };
        Ok(list.iter().enumerate().map(place).collect())
    }

    pub fn number_or(&self, key: &str, default: f64) -> Result<f64, String> {
        self.optional(key).map_or(Ok(default), |at| at.number())
    }

    fn ms_or(&self, key: &str, default: f64) -> Result<f64, String> {
        self.optional(key).map_or(Ok(default), |at| at.ms())
    }

    pub fn boolean(&self) -> Result<bool, String> {
        self.value.as_bool().ok_or_else(|| format!("{} is neither true nor false", self.path))
    }

    fn boolean_or_false(&self, key: &str) -> Result<bool, String> {
        self.optional(key).map_or(Ok(false), |at| at.boolean())
    }

    fn list_or_none(&self, key: &str) -> Result<Vec<JsonField<'a>>, String> {
        self.optional(key).map_or(Ok(Vec::new()), |at| at.list())
    }

    fn texts(&self, key: &str) -> Result<Vec<String>, String> {
        self.list_or_none(key)?.iter().map(|at| at.string().map(str::to_string)).collect()
    }

    fn names(&self, key: &str) -> Result<Vec<String>, String> {
        let name = |at: &JsonField| at.required("name")?.string().map(str::to_string);
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
    decode(&JsonField::root(&json, "settings"))
}

pub fn decode(top: &JsonField) -> Result<Settings, String> {
    let limits = top.required("limits")?;
    let rules = top.required("rules")?;
    let prices = top.required("deductions")?;
    check_goal(top)?;
    let on_request = top.required("discovery")?.string()? == "on_request";
    let quota = |customer: &JsonField| customer.required("quota_per_s")?.number();
    let tier = top.number_or("tier", 0.0)? as usize;
    let layers = top.texts("layers")?.len();
    if layers > 0 && tier >= layers {
        return top.required("tier")?.error(format!("is none of the {layers} layers"));
    }
    // One of the two is enough to state a budget: without a number that is free it is a share alone.
    let rationed = rules.optional("budget_free").or(rules.optional("extra_ratio")).is_some();
    Ok(Settings {
        node_count: top.required("siblings")?.number()?.max(1.0),
        tier,
        last_tier: layers == tier + 1,
        weighted: sized(top)?,
        zone: top.number_or("locality", 0.0)? as u16,
        round_interval: top.required("round")?.ms()?,
        discovery_on_request: on_request,
        list_request_deadline: if on_request { rules.required("ask_within")?.ms()? } else { 0.0 },
        profiles: top.required("profiles")?.list()?.iter().map(profile).collect::<Result<_, _>>()?,
        quotas: top.list_or_none("customers")?.iter().map(quota).collect::<Result<_, _>>()?,
        over_quota_gain: top.number_or("excess_gain", 1.0)?,
        gain_per_work: top.optional("gain_basis").map_or(Ok(""), |at| at.string())? == "work",
        cross_zone_price: prices.number_or("cross_zone", 0.0)?,
        probe_price: prices.number_or("probe", 0.0)?,
        max_attempts: limits.required("most_shots")?.positive_number()?.ceil() as usize,
        may_hedge: limits.boolean_or_false("parallel_tries")?,
        may_cancel: limits.boolean_or_false("cancel")?,
        may_probe: limits.boolean_or_false("probes")?,
        max_retry_after: if limits.boolean_or_false("retry_after")? {
            limits.required("max_retry_after")?.ms()?
        } else {
            0.0
        },
        warm_up_time: rules.required("cold")?.ms()?,
        cold_capacity_share: rules.required("cold_from")?.number()?,
        overload_multiple: rules.required("tip_multiple")?.number()?,
        overload_window: rules.required("overload_for")?.ms()?,
        may_send_to_removed: rules.boolean_or_false("removal_not_binding")?,
        retry_budget_free: rules.number_or("budget_free", if rationed { 0.0 } else { f64::INFINITY })?,
        retry_budget_ratio: rules.number_or("extra_ratio", 0.0)?,
        retry_budget_span: if rationed {
            rules.required("resend_span")?.positive_number()? / NS_PER_MS
        } else {
            0.0
        },
        report: top.required("report")?.texts("fields")?.iter().map(|name| report_field(name)).collect(),
    })
}

/// What the parts of the goal weigh decides nothing; they must be figures all the same.
fn check_goal(top: &JsonField) -> Result<(), String> {
    let goal = top.required("objective_mix")?;
    for key in ["whole", "worst_class", "worst_tenant", "tail_part"] {
        goal.number_or(key, 0.0)?;
    }
    let slack = goal.number_or("tail_slack", 0.0)?;
    if slack <= 1.0 { Ok(()) } else { goal.required("tail_slack")?.error("is above 1") }
}

/// Does the list say what servers bear? Weights that follow load would count it twice.
fn sized(top: &JsonField) -> Result<bool, String> {
    let Some(weights) = top.optional("weights") else { return Ok(false) };
    match weights.string()? {
        "nominal" | "rough" => Ok(true),
        "none" | "live" => Ok(false),
        other => weights.error(format!("{other:?} is unknown")),
    }
}

fn profile(at: &JsonField) -> Result<Profile, String> {
    let kind = at.required("effect")?;
    let effect = match kind.string()? {
        "safe" => Effect::Idempotent,
        "keyed" => Effect::Keyed,
        "unsafe" => Effect::NonIdempotent,
        other => return kind.error(format!("{other:?} is unknown")),
    };
    let group = match at.optional("group") {
        None => DedupScope::All,
        Some(group) => match group.string()? {
            "zone" => DedupScope::Zone,
            "cell" => DedupScope::Cell,
            "all" => DedupScope::All,
            other => return group.error(format!("{other:?} is unknown")),
        },
    };
    Ok(Profile {
        name: at.optional("name").map_or(Ok(at.path.as_str()), |at| at.string())?.to_string(),
        effect,
        dedup_scope: group,
        dedup_window: at.ms_or("window", 0.0)?,
        latency_target: at.required("contract_time")?.positive_number()? / NS_PER_MS,
        gain: at.required("gain")?.number()?,
    })
}

fn report_field(name: &str) -> ReportField {
    match name {
        "utilization" => ReportField::Utilization,
        "outstanding" => ReportField::Outstanding,
        "backlog" => ReportField::Backlog,
        _ => ReportField::Other,
    }
}

/// What the settings say beside what the module decides by: names as they stand in messages, and limits of
/// connections. Lists are in the settings' order.
#[derive(Debug, Clone, Default)]
pub struct NodeSettings {
    pub profiles: Vec<String>,
    pub customers: Vec<String>,
    pub zones: Vec<String>,
    pub machine_types: Vec<String>,
    pub report: Vec<String>,
    pub load_reports: bool,
    pub load_reports_in_responses: bool,
    pub connect_timeout: f64,
    pub idle_timeout: f64,
    /// How long after its drain was told a server may still be sent something new, ms.
    pub drain_grace: f64,
    /// The longest that any profile's client waits.
    pub max_deadline: f64,
}

impl NodeSettings {
    pub fn decode(top: &JsonField) -> Result<Self, String> {
        let limits = top.required("limits")?;
        let report = top.required("report")?;
        let via = report.optional("via").map_or(Ok("none"), |at| at.string())?;
        if limits.number_or("streams_per_conn", 1.0)? < 1.0 {
            return limits.required("streams_per_conn")?.error("is below 1");
        }
        let deadline = |at: &JsonField| Ok(at.required("outer_limit")?.positive_number()? / NS_PER_MS);
        let deadlines: Vec<f64> =
            top.required("profiles")?.list()?.iter().map(deadline).collect::<Result<_, String>>()?;
        Ok(Self {
            profiles: top.names("profiles")?,
            customers: top.names("customers")?,
            zones: top.texts("azs")?,
            machine_types: top.texts("host_types")?,
            report: report.texts("fields")?,
            load_reports: via != "none",
            load_reports_in_responses: via == "answers",
            connect_timeout: limits.ms_or("connect_timeout", CONNECT_TIMEOUT)?,
            idle_timeout: limits.ms_or("conn_idle", CONN_IDLE)?,
            drain_grace: top.required("rules")?.ms_or("drain_grace", DRAIN_GRACE)?,
            max_deadline: deadlines.into_iter().fold(0.0, f64::max),
        })
    }
}

#[cfg(test)]
mod tests;
