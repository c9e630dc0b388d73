use super::*;
use test_case::test_case;

const FILE: &str = include_str!("../../../../../rehearsals/cluster/halves.toml");

#[test_case("processes = 6", "processes = 1", "processes: 1 is not between 2 and 32"; "one process")]
#[test_case("from = [0, 1, 2]", "from = [0, 9]", "troubles[0].from: there is no process 9"; "nobody")]
#[test_case("processes = 6", "processes = 6\nholders = [9]", "holders: there is no process 9"; "nobody to hold")]
#[test_case("processes = 6", "processes = 6\nholders = [1]", "holders: need cluster.voters"; "nobody to decide")]
#[test_case("what = \"cut\"", "what = \"stop\"\nlength = 3", "troubles[0].length: unknown field `length`, expected one of `what`, `at_s`, `for_s`, `who`, `from`, `to`, `both`, `loss`, `doubled`, `delay_ms`, `folder`"; "unknown key")]
fn a_mistake_is_told_by_its_key(was: &str, is: &str, wanted: &str) {
    assert!(FILE.contains(was));
    let mistake = Scenario::parse(&FILE.replacen(was, is, 1)).unwrap_err();
    assert_eq!(format!("{}: {}", mistake.key, mistake.what), wanted);
}

#[test]
fn who_is_not_named_is_everyone() {
    let scenario = Scenario::parse(&FILE.replacen("from = [0, 1, 2]\n", "", 1)).unwrap();
    assert_eq!(scenario.troubles[0].from, [0, 1, 2, 3, 4, 5]);
}
