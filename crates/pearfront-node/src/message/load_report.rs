//! Load reports of servers, which come in their answers or are fetched by probes.

use super::headers::REPORT;
use hyper::http::response;
use pearfront_settings::NodeSettings;

/// The load report in an answer, where the deployment sends them there; an error if it can't be decoded.
pub fn decode_report_of(
    head: &response::Parts,
    node_settings: &NodeSettings,
) -> Option<Result<Vec<f64>, String>> {
    let value = head.headers.get(REPORT).filter(|_| node_settings.load_reports_in_responses)?;
    Some(
        value.to_str().map_err(|error| error.to_string()).and_then(|text| decode_report(text, node_settings)),
    )
}

/// The values of a load report in the order of the settings; empty for a server that has just started and has
/// none yet.
pub fn decode_report(text: &str, node_settings: &NodeSettings) -> Result<Vec<f64>, String> {
    if text.trim().is_empty() {
        return Ok(Vec::new());
    }
    let list = text.trim().strip_prefix("TEXT").ok_or_else(|| format!("{text:.40?} is none"))?;
    let value = |name: &String| {
        let short = short_name(name);
        field(list, short).or_else(|| field(list, name)).ok_or_else(|| format!("no {short} in a load report"))
    };
    node_settings.report.iter().map(value).collect()
}

/// The protocol's name of a report field that the settings name.
fn short_name(name: &str) -> &str {
    match name {
        "utilization" => "util",
        "outstanding" => "inflight",
        "backlog" => "queue",
        "throughput" => "qps",
        "recent_ms" => "latency_ms",
        "errors_per_s" => "eps",
        other => other,
    }
}

/// One field of a list like `a=1,b=2`.
fn field(list: &str, name: &str) -> Option<f64> {
    let mut pairs = list.split(',').filter_map(|pair| pair.split_once('='));
    finite(pairs.find(|(key, _)| key.trim() == name)?.1)
}

/// A finite number that is not negative.
fn finite(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0)
}

#[cfg(test)]
mod tests;
