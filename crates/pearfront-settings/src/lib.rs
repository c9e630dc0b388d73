//! Decodes and checks the settings that an instance is given: fills in defaults, and names the faulty key. `decode`
//! reads what the decision module needs, `NodeSettings` what a node on sockets needs besides. Used by the node, the
//! simulator's adapter, the emulator and the command line.

pub mod sidecar;

use pearfront::interface::{DedupScope, Effect, Profile, ReportField, Settings};
use serde_json::Value;

const NS_PER_MS: f64 = 1e6;
/// Time-out of connecting to a server where the settings state none: a few round trips across a country.
const CONNECT_TIMEOUT_MS: f64 = 500.0;
/// Time after which a server closes an idle connection where the settings state none.
const IDLE_TIMEOUT_MS: f64 = 10_000.0;
/// Grace period of drains where the settings state none: the least that any deployment gives.
const DRAIN_GRACE_MS: f64 = 300.0;

/// A value in a JSON document, with its path for error messages.
pub struct JsonField<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> JsonField<'a> {
    /// The whole document, under this name.
    pub fn root(value: &'a Value, name: &str) -> Self {
        Self { value, path: name.into() }
    }

    /// The value of a key that must be there.
    pub fn required(&self, key: &str) -> Result<JsonField<'a>, String> {
        self.optional(key).ok_or_else(|| format!("{}.{key} is missing", self.path))
    }

    /// The value of a key, none if it is absent or null.
    pub fn optional(&self, key: &str) -> Option<JsonField<'a>> {
        let value = self.value.get(key).filter(|value| !value.is_null())?;
        Some(JsonField { value, path: format!("{}.{key}", self.path) })
    }

    /// An error that begins with the value's path.
    pub fn error<T>(&self, what: impl std::fmt::Display) -> Result<T, String> {
        Err(format!("{} {what}", self.path))
    }

    /// A number of at least 0; no number in the settings is negative.
    pub fn number(&self) -> Result<f64, String> {
        let number = self.value.as_f64().filter(|number| *number >= 0.0);
        number.ok_or_else(|| format!("{} is no number of at least 0", self.path))
    }

    /// A number above 0, for values where 0 would leave no room for anything.
    pub fn positive_number(&self) -> Result<f64, String> {
        let number = self.number()?;
        if number > 0.0 { Ok(number) } else { self.error("is not above 0") }
    }

    /// A duration given in nanoseconds, in ms.
    pub fn ms(&self) -> Result<f64, String> {
        Ok(self.number()? / NS_PER_MS)
    }

    /// A string.
    pub fn string(&self) -> Result<&'a str, String> {
        self.value.as_str().ok_or_else(|| format!("{} is no text", self.path))
    }

    /// The items of a list.
    pub fn list(&self) -> Result<Vec<JsonField<'a>>, String> {
        let list = self.value.as_array().ok_or_else(|| format!("{} is no list", self.path))?;
        let item = |(index, value)| JsonField { value, path: format!("{}[{index}]", self.path) };
        Ok(list.iter().enumerate().map(item).collect())
    }

    /// The number under `key`, or the default where it is absent.
    pub fn number_or(&self, key: &str, default: f64) -> Result<f64, String> {
        self.optional(key).map_or(Ok(default), |field| field.number())
    }

    fn ms_or(&self, key: &str, default: f64) -> Result<f64, String> {
        self.optional(key).map_or(Ok(default), |field| field.ms())
    }

    /// True or false.
    pub fn boolean(&self) -> Result<bool, String> {
        self.value.as_bool().ok_or_else(|| format!("{} is neither true nor false", self.path))
    }

    fn boolean_or_false(&self, key: &str) -> Result<bool, String> {
        self.optional(key).map_or(Ok(false), |field| field.boolean())
    }

    fn list_or_none(&self, key: &str) -> Result<Vec<JsonField<'a>>, String> {
        self.optional(key).map_or(Ok(Vec::new()), |field| field.list())
    }

    fn texts(&self, key: &str) -> Result<Vec<String>, String> {
        self.list_or_none(key)?.iter().map(|field| field.string().map(str::to_string)).collect()
    }

    fn names(&self, key: &str) -> Result<Vec<String>, String> {
        let name = |field: &JsonField| field.required("name")?.string().map(str::to_string);
        self.list_or_none(key)?.iter().map(name).collect()
    }
}

/// The first key that `before` has and `now` lacks. A key that has a default is required once it was given: otherwise
/// a file that was cut short in the right place would change it without notice. Each item of a list must have the keys
/// that all its items had before.
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
            now.iter().enumerate().find_map(|(index, item)| {
                let missing = keys.iter().find(|key| item.get(key).is_none())?;
                Some(format!("{path}[{index}].{missing}"))
            })
        }
        _ => None,
    }
}

/// Decodes settings from JSON text, as the simulator sends them.
pub fn parse(text: &[u8]) -> Result<Settings, String> {
    let json: Value = serde_json::from_slice(text).map_err(|error| format!("settings: {error}"))?;
    decode(&JsonField::root(&json, "settings"))
}

/// Decodes the settings of the decision module.
pub fn decode(root: &JsonField) -> Result<Settings, String> {
    let limits = root.required("limits")?;
    let rules = root.required("rules")?;
    let deductions = root.required("deductions")?;
    check_goal(root)?;
    let on_request = root.required("discovery")?.string()? == "on_request";
    let quota = |customer: &JsonField| customer.required("quota_per_s")?.number();
    let tier = root.number_or("tier", 0.0)? as usize;
    let layers = root.texts("layers")?.len();
    if layers > 0 && tier >= layers {
        return root.required("tier")?.error(format!("is none of the {layers} layers"));
    }
    // Either key alone states a budget: without a free number it is a share only.
    let has_retry_budget = rules.optional("budget_free").or(rules.optional("extra_ratio")).is_some();
    Ok(Settings {
        node_count: root.required("siblings")?.number()?.max(1.0),
        tier,
        last_tier: layers == tier + 1,
        weighted: weighted(root)?,
        zone: root.number_or("locality", 0.0)? as u16,
        round_interval: root.required("round")?.ms()?,
        discovery_on_request: on_request,
        list_request_deadline: if on_request { rules.required("ask_within")?.ms()? } else { 0.0 },
        profiles: root.required("profiles")?.list()?.iter().map(profile).collect::<Result<_, _>>()?,
        quotas: root.list_or_none("customers")?.iter().map(quota).collect::<Result<_, _>>()?,
        over_quota_gain: root.number_or("excess_gain", 1.0)?,
        gain_per_work: root.optional("gain_basis").map_or(Ok(""), |field| field.string())? == "work",
        cross_zone_price: deductions.number_or("cross_zone", 0.0)?,
        probe_price: deductions.number_or("probe", 0.0)?,
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
        retry_budget_free: rules
            .number_or("budget_free", if has_retry_budget { 0.0 } else { f64::INFINITY })?,
        retry_budget_ratio: rules.number_or("extra_ratio", 0.0)?,
        retry_budget_span: if has_retry_budget {
            rules.required("resend_span")?.positive_number()? / NS_PER_MS
        } else {
            0.0
        },
        report: root.required("report")?.texts("fields")?.iter().map(|name| report_field(name)).collect(),
    })
}

/// Checks the weights of the goal's parts. No decision depends on them, but they must be numbers all the same.
fn check_goal(root: &JsonField) -> Result<(), String> {
    let goal = root.required("objective_mix")?;
    for key in ["whole", "worst_class", "worst_tenant", "tail_part"] {
        goal.number_or(key, 0.0)?;
    }
    let slack = goal.number_or("tail_slack", 0.0)?;
    if slack <= 1.0 { Ok(()) } else { goal.required("tail_slack")?.error("is above 1") }
}

/// Whether the list's weights state the servers' capacity. Weights that follow load are not used: load would count
/// twice.
fn weighted(root: &JsonField) -> Result<bool, String> {
    let Some(weights) = root.optional("weights") else { return Ok(false) };
    match weights.string()? {
        "nominal" | "rough" => Ok(true),
        "none" | "live" => Ok(false),
        other => weights.error(format!("{other:?} is unknown")),
    }
}

fn profile(field: &JsonField) -> Result<Profile, String> {
    let effect_field = field.required("effect")?;
    let effect = match effect_field.string()? {
        "safe" => Effect::Idempotent,
        "keyed" => Effect::Keyed,
        "unsafe" => Effect::NonIdempotent,
        other => return effect_field.error(format!("{other:?} is unknown")),
    };
    let dedup_scope = match field.optional("group") {
        None => DedupScope::All,
        Some(group) => match group.string()? {
            "zone" => DedupScope::Zone,
            "cell" => DedupScope::Cell,
            "all" => DedupScope::All,
            other => return group.error(format!("{other:?} is unknown")),
        },
    };
    Ok(Profile {
        name: field.optional("name").map_or(Ok(field.path.as_str()), |field| field.string())?.to_string(),
        effect,
        dedup_scope,
        dedup_window: field.ms_or("window", 0.0)?,
        latency_target: field.required("contract_time")?.positive_number()? / NS_PER_MS,
        gain: field.required("gain")?.number()?,
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

/// Settings that a node on sockets needs and the decision module does not: names that messages use, and limits of
/// connections. Lists are in the order of the settings.
#[derive(Debug, Clone, Default)]
pub struct NodeSettings {
    pub profiles: Vec<String>,
    pub customers: Vec<String>,
    pub zones: Vec<String>,
    pub machine_types: Vec<String>,
    pub report: Vec<String>,
    /// Servers report their load at all, and in their responses to requests.
    pub load_reports: bool,
    pub load_reports_in_responses: bool,
    /// Times in ms.
    pub connect_timeout: f64,
    pub idle_timeout: f64,
    /// How long after its drain was announced a server may still be sent something new, ms.
    pub drain_grace: f64,
    /// The longest deadline of any profile's clients, ms.
    pub max_deadline: f64,
}

impl NodeSettings {
    pub fn decode(root: &JsonField) -> Result<Self, String> {
        let limits = root.required("limits")?;
        let report = root.required("report")?;
        let via = report.optional("via").map_or(Ok("none"), |field| field.string())?;
        if limits.number_or("streams_per_conn", 1.0)? < 1.0 {
            return limits.required("streams_per_conn")?.error("is below 1");
        }
        let deadline = |field: &JsonField| Ok(field.required("outer_limit")?.positive_number()? / NS_PER_MS);
        let deadlines: Vec<f64> =
            root.required("profiles")?.list()?.iter().map(deadline).collect::<Result<_, String>>()?;
        Ok(Self {
            profiles: root.names("profiles")?,
            customers: root.names("customers")?,
            zones: root.texts("azs")?,
            machine_types: root.texts("host_types")?,
            report: report.texts("fields")?,
            load_reports: via != "none",
            load_reports_in_responses: via == "answers",
            connect_timeout: limits.ms_or("connect_timeout", CONNECT_TIMEOUT_MS)?,
            idle_timeout: limits.ms_or("conn_idle", IDLE_TIMEOUT_MS)?,
            drain_grace: root.required("rules")?.ms_or("drain_grace", DRAIN_GRACE_MS)?,
            max_deadline: deadlines.into_iter().fold(0.0, f64::max),
        })
    }
}

#[cfg(test)]
mod tests;
