use super::*;
use serde_json::json;
use test_case::test_case;

fn error_of(change: serde_json::Value) -> String {
    let mut settings = json!({"installation": "shop", "listen": "127.0.0.1:7000"});
    settings.as_object_mut().unwrap().extend(change.as_object().unwrap().clone());
    match serde_json::from_value::<Settings>(settings) {
        Ok(settings) => settings.check().err().unwrap_or_default(),
        Err(error) => error.to_string(),
    }
}

#[test_case(json!({}), ""; "minimal settings")]
#[test_case(json!({"installation": ""}), "installation has 0 bytes, not 1 to 32"; "no installation")]
#[test_case(json!({"listen": "0.0.0.0:7000"}), "advertise is needed where listen names no address of its own"; "wildcard address")]
#[test_case(json!({"times": {"period_ms": 0}}), "times.period_ms is 0, not 10 to 86400000"; "period too short")]
#[test_case(json!({"times": {"period_ms": 500, "suspicion_ms": 100}}), "times.suspicion_ms is below times.period_ms: nobody could answer in it"; "suspicion shorter than the period")]
#[test_case(json!({"seed": []}), "unknown field `seed`, expected one of `installation`, `name`, `zone`, `listen`, `advertise`, `seeds`, `peers`, `folder`, `times`, `voters`, `duties`, `drain_permit`"; "unknown key")]
#[test_case(json!({"drain_permit": {}}), "drain_permit needs voters"; "permit without voters")]
#[test_case(json!({"voters": ["a", "b", "c"], "drain_permit": {"at_most": 0}}), "drain_permit.at_most is 0, not 1 to 1024"; "permit for no node")]
#[test_case(json!({"voters": ["a", "b"]}), "voters are 2, not 3 or 5"; "two voters")]
#[test_case(json!({"voters": ["a", "b", "a"]}), "voters names one twice"; "one voter twice")]
#[test_case(json!({"duties": {"export": {}}}), "duties need voters"; "duties without voters")]
#[test_case(json!({"voters": ["a", "b", "c"], "duties": {"export": {"lease_ms": 5}}}), "duties.export.lease_ms is 5, not 1000 to 600000"; "lease too short")]
#[test_case(json!({"voters": ["a", "b", "c"], "duties": {"a/b": {}}}), "duties.a/b: a name has 1 to 64 letters, digits and . _ : -"; "invalid duty name")]
#[test_case(json!({"times": {"beat_ms": 300}}), "times.election_ms is below two of times.beat_ms: a lost beat would be an election"; "election time-out too short")]
fn errors_name_the_faulty_key(change: serde_json::Value, expected: &str) {
    assert_eq!(error_of(change), expected);
}
