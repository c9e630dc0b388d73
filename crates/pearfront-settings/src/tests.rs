use super::*;
use test_case::test_case;

const SETTINGS: &str = r#"{"siblings": 2, "round": 4000000, "discovery": "on_request", "azs": ["one"],
        "host_types": ["old"], "customers": [{"name": "inns", "quota_per_s": 9.5}], "deductions": {},
        "profiles": [{"name": "book", "effect": "keyed", "group": "cell", "window": 5e9, "contract_time": 1e9,
            "outer_limit": 3e9, "gain": 1.0, "surprise": true}],
        "limits": {"most_shots": 3, "cancel": true, "conn_idle": 30e9, "retry_after": true,
            "max_retry_after": 2e9},
        "objective_mix": {"whole": 1.0}, "report": {"fields": ["utilization"], "via": "probe"},
        "rules": {"ask_within": 1e10, "cold": 9e9, "cold_from": 0.3, "tip_multiple": 4.0, "overload_for": 2e9}}"#;

#[test]
fn times_are_milliseconds_and_absent_keys_have_defaults() {
    let json: Value = serde_json::from_str(SETTINGS).unwrap();
    let settings = decode(&JsonField::root(&json, "settings")).unwrap();
    assert_eq!(
        (settings.round_interval, settings.list_request_deadline, settings.max_retry_after),
        (4.0, 10_000.0, 2000.0)
    );
    assert_eq!((settings.probe_price, settings.over_quota_gain, settings.tier), (0.0, 1.0, 0));
    assert_eq!(settings.profiles[0].dedup_scope, DedupScope::Cell);
    let around = NodeSettings::decode(&JsonField::root(&json, "settings")).unwrap();
    assert_eq!((around.idle_timeout, around.connect_timeout), (30_000.0, CONNECT_TIMEOUT));
    assert_eq!((around.max_deadline, around.load_reports_in_responses), (3000.0, false));
    assert_eq!(around.customers, ["inns"]);
}

#[test]
fn last_tier_and_weights_are_read_and_off_by_default() {
    let old = parse(SETTINGS.as_bytes()).unwrap();
    assert!(!old.last_tier && !old.weighted && !old.may_hedge);
    let named =
        SETTINGS.replace("\"siblings\": 2", "\"siblings\": 2, \"layers\": [\"a\"], \"weights\": \"rough\"");
    let new = parse(named.as_bytes()).unwrap();
    assert!(new.last_tier && new.weighted);
}

#[test]
fn a_budget_of_further_attempts_and_what_else_binds_are_read_and_bind_nothing_where_they_are_not_named() {
    let old = parse(SETTINGS.as_bytes()).unwrap();
    assert!(old.retry_budget_free.is_infinite() && !old.may_send_to_removed);
    let named = SETTINGS.replace(
        "\"rules\": {",
        "\"rules\": {\"budget_free\": 3, \"extra_ratio\": 0.03, \
        \"resend_span\": 5e9, \"removal_not_binding\": true, ",
    );
    let named = named.replace("\"whole\": 1.0", "\"whole\": 0.8, \"tail_part\": 0.2, \"tail_slack\": 0.02");
    let new = parse(named.as_bytes()).unwrap();
    assert_eq!((new.retry_budget_free, new.retry_budget_ratio, new.retry_budget_span), (3.0, 0.03, 5000.0));
    assert!(new.may_send_to_removed);
    let share_alone =
        SETTINGS.replace("\"rules\": {", "\"rules\": {\"extra_ratio\": 0.1, \"resend_span\": 1e9, ");
    assert_eq!(parse(share_alone.as_bytes()).unwrap().retry_budget_free, 0.0);
}

#[test_case("\"rules\": {", "\"rules\": {\"budget_free\": 3, ", "settings.rules.resend_span is missing"; "budget without a span")]
#[test_case("\"rules\": {", "\"rules\": {\"extra_ratio\": 0.1, \"resend_span\": 0, ", "settings.rules.resend_span is not above 0"; "span of nothing")]
#[test_case("\"rules\": {", "\"rules\": {\"removal_not_binding\": 1, ", "settings.rules.removal_not_binding is neither true nor false"; "no flag")]
#[test_case("\"whole\": 1.0", "\"tail_slack\": 2", "settings.objective_mix.tail_slack is above 1"; "more than all")]
#[test_case("\"siblings\": 2", "\"siblings\": \"two\"", "settings.siblings is no number of at least 0"; "text")]
#[test_case("\"cell\"", "\"shelf\"", "settings.profiles[0].group \"shelf\" is unknown"; "unknown group")]
#[test_case("9.5", "null", "settings.customers[0].quota_per_s is missing"; "null is missing")]
#[test_case("\"cancel\": true", "\"cancel\": 1", "settings.limits.cancel is neither true nor false"; "flag")]
#[test_case("\"siblings\": 2", "\"siblings\": 2, \"weights\": \"heavy\"", "settings.weights \"heavy\" is unknown"; "unknown weights")]
#[test_case("\"siblings\": 2", "\"siblings\": 2, \"tier\": 1, \"layers\": [\"a\"]", "settings.tier is none of the 1 layers"; "tier beyond the last")]
#[test_case("{}", "{\"probe\": -1}", "settings.deductions.probe is no number of at least 0"; "default's key")]
#[test_case("{}", "{", "settings: key must be a string at line 2 column 100"; "no JSON")]
fn the_faulty_key_is_named(was: &str, is: &str, problem: &str) {
    assert_eq!(parse(SETTINGS.replace(was, is).as_bytes()).unwrap_err(), problem);
}
