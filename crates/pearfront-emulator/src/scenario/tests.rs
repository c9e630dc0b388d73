use super::*;
use test_case::test_case;

const FILE: &str = include_str!("../../../../rehearsals/calm-minute.toml");

fn changed(was: &str, is: &str) -> String {
    assert!(FILE.contains(was), "{was:?} is not in the file");
    let mistake = Scenario::parse(&FILE.replacen(was, is, 1)).unwrap_err();
    format!("{} | {}", mistake.key, mistake.what)
}

#[test_case("length_s = 60", "length_s = \"long\"", "length_s | invalid type: string \"long\", expected f64"; "text for a number")]
#[test_case("length_s = 60", "length_s = 0", "length_s | 0 is not above 0 and at most 86400"; "no length")]
#[test_case("effect = \"idempotent\"", "effect = \"safe\"", "profiles[0].effect | unknown variant `safe`, expected one of `idempotent`, `keyed`, `non-idempotent`"; "another's word")]
#[test_case("servers = 12", "servers = 0", "tiers[0].servers | 0 is not between 1 and 20000"; "empty tier")]
#[test_case("calls = 1", "calls = 0", "tiers[0].calls | must be at least 1, or the next tier gets no work"; "tier without work")]
#[test_case("zones = [\"east\", \"west\"]", "zones = [\"east\", \"east\"]", "zones | \"east\" stands there twice"; "same name")]
fn a_faulty_key_is_named(was: &str, is: &str, told: &str) {
    assert_eq!(changed(was, is), told);
}

#[test]
fn an_unknown_key_is_told_with_its_line() {
    let text = FILE.replacen("[network]", "[network]\nhops = 3", 1);
    let mistake = Scenario::parse(&text).unwrap_err();
    assert_eq!(text.lines().nth(mistake.line - 1), Some("hops = 3"));
    assert!(mistake.what.starts_with("unknown field `hops`"), "{mistake}");
    assert_eq!(mistake.key, "network.hops");
}

#[test]
fn a_trouble_at_a_place_that_is_not_there_is_told_with_its_line() {
    let text = format!("{FILE}\n[[troubles]]\nwhat = \"silent\"\nat_s = 5\ntier = \"cellar\"\n");
    let mistake = Scenario::parse(&text).unwrap_err();
    assert_eq!(mistake.key, "troubles[0].tier");
    assert_eq!(text.lines().nth(mistake.line - 1), Some("tier = \"cellar\""));
    assert_eq!(mistake.what, "\"cellar\" is no tier of this file");
}

#[test]
fn a_rate_follows_its_curve() {
    let rate = Rate::Curve(vec![(10.0, 100.0), (20.0, 300.0)]);
    assert_eq!([0.0, 10.0, 15.0, 20.0, 99.0].map(|at| rate.at(at)), [100.0, 100.0, 200.0, 300.0, 300.0]);
    assert_eq!(rate.most(), 300.0);
}

#[test_case("[nodes]", "[nodes]\nmost_shots = 3", "nodes.most_shots | `most_shots` is `most_attempts` now"; "attempts")]
#[test_case("latency_target_ms = 400", "contract_ms = 400", "profiles[0].contract_ms | `contract_ms` is `latency_target_ms` now"; "latency target")]
#[test_case("deadline_ms = 1500", "limit_ms = 1500", "profiles[0].limit_ms | `limit_ms` is `deadline_ms` now"; "deadline")]
#[test_case("effect = \"idempotent\"", "effect = \"redoable\"", "profiles[0].effect | `redoable` is `idempotent` now"; "idempotent")]
#[test_case("effect = \"keyed\"", "effect = \"labelled\"", "profiles[1].effect | `labelled` is `keyed` now"; "keyed")]
#[test_case("effect = \"non-idempotent\"", "effect = \"irreversible\"", "profiles[2].effect | `irreversible` is `non-idempotent` now"; "non idempotent")]
fn an_old_word_is_refused_with_the_new_one(was: &str, is: &str, told: &str) {
    assert_eq!(changed(was, is), told);
}
