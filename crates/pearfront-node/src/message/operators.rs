//! Messages between a node and its operators.

use super::body::{Body, plain};
use super::headers::FORCE;
use hyper::header::{self, HeaderValue};
use hyper::http::request;
use hyper::{Method, Response, StatusCode};
use pearfront_cluster::Hold;

/// A call of an operator.
pub enum AdminCall {
    /// Is this process ready to serve?
    Ready,
    /// The members of the cluster, as this process sees them.
    Members,
    /// The holders of the duties.
    Duties,
    /// A command asks for a duty, or renews its hold on it.
    HoldDuty(Hold),
    /// A command releases its duty.
    ReleaseDuty { duty: String, client: String, was_successful: bool },
    /// The holder of a duty is to release it, for `to` if that is given.
    MoveDuty { duty: String, to: Option<String> },
    /// Drain; `force` if no permit is needed.
    Drain { force: bool },
    /// Stop draining and serve again.
    Resume,
    /// An unknown path.
    Unknown,
    /// A path that allows only this method.
    WrongMethod(Method),
}

/// Decodes the head of an operator's request.
pub fn decode_admin(head: &request::Parts) -> AdminCall {
    let (call, method) = match head.uri.path() {
        "/_ready" => (AdminCall::Ready, Method::GET),
        "/_members" => (AdminCall::Members, Method::GET),
        "/_lameduck/on" => (AdminCall::Drain { force: head.headers.contains_key(FORCE) }, Method::PUT),
        "/_lameduck/off" => (AdminCall::Resume, Method::PUT),
        "/_duties" => (AdminCall::Duties, Method::GET),
        path => {
            match path.strip_prefix("/_duties/").and_then(|rest| decode_duty_call(rest, head.uri.query())) {
                Some(call) => (call, Method::PUT),
                None => return AdminCall::Unknown,
            }
        }
    };
    if head.method == method { call } else { AdminCall::WrongMethod(method) }
}

/// Decodes `NAME/hold?client=C[&once_per_ms=T]`, `NAME/give-up?client=C[&well=true]` and `NAME/move[?to=N]`.
/// Names contain no characters that a path would escape.
fn decode_duty_call(rest: &str, query: Option<&str>) -> Option<AdminCall> {
    let (duty, action) = rest.split_once('/')?;
    let parts: Vec<(&str, &str)> =
        query.unwrap_or("").split('&').filter_map(|part| part.split_once('=')).collect();
    let value = |key: &str| parts.iter().find(|(known, _)| *known == key).map(|(_, value)| value.to_string());
    let duty = duty.to_string();
    match action {
        "hold" => {
            let period = value("once_per_ms").map_or(Some(0.0), |text| text.parse().ok());
            let once_per_ms = period.filter(|ms: &f64| ms.is_finite() && *ms >= 0.0)?;
            Some(AdminCall::HoldDuty(Hold { duty, client: value("client")?, once_per_ms }))
        }
        "give-up" => {
            let was_successful = value("well").is_some_and(|text| text == "true");
            Some(AdminCall::ReleaseDuty { duty, client: value("client")?, was_successful })
        }
        "move" => Some(AdminCall::MoveDuty { duty, to: value("to") }),
        _ => None,
    }
}

/// The answer to an unknown call, or to a wrong method.
pub fn encode_unknown_call(allowed_method: Option<Method>) -> Response<Body> {
    let Some(method) = allowed_method else { return plain(StatusCode::NOT_FOUND, "no such call\n") };
    let mut response = plain(StatusCode::METHOD_NOT_ALLOWED, format!("only {method}\n"));
    response.headers_mut().insert(header::ALLOW, HeaderValue::from_str(method.as_str()).expect("a method"));
    response
}

/// Success or failure, with the state of the process.
pub fn encode_admin(yes: bool, state: &str) -> Response<Body> {
    plain(if yes { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, format!("{state}\n"))
}

/// The call can't be carried out, for this reason.
pub fn encode_conflict(problem: &str) -> Response<Body> {
    plain(StatusCode::CONFLICT, format!("{problem}\n"))
}

/// A view for an operator, as JSON.
pub fn encode_json(value: &impl serde::Serialize) -> Response<Body> {
    let text = serde_json::to_string(value).unwrap_or_default();
    let mut response = plain(StatusCode::OK, format!("{text}\n"));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
