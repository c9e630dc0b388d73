use super::super::test_cluster::{Member, View};
use super::*;
use test_case::test_case;

fn view(state: &str) -> View {
    let member = Member {
        name: "n1".into(),
        address: String::new(),
        state: state.into(),
        incarnation: 1,
        life: "b".into(),
        link: "up".into(),
    };
    View {
        name: "n0".into(),
        life: "a".into(),
        state: "member".into(),
        barred_by: None,
        sure: true,
        deaf_s: None,
        sum: String::new(),
        incarnation: 1,
        members: vec![member],
        counts: BTreeMap::new(),
    }
}

fn broken(acts: Vec<(f64, Act)>, seen: &[(f64, &str)]) -> Vec<String> {
    let started = |who, life: &str| (0.0, Act::Started { who, life: life.into() });
    let acts = [vec![started(0, "a"), started(1, "b")], acts].concat();
    let views = seen.iter().map(|(at, state)| (*at, 0, view(state))).collect();
    let names = vec!["n0".into(), "n1".into()];
    let records = Records { names, acts, views, late: None, length: 99_000.0 };
    judge(&records, false).broken.into_iter().map(|finding| finding.what).collect()
}

const KILLED: Act = Act::Killed { who: 1 };
const STOPPED: Act = Act::Stopped { who: 1 };
const CONTINUED: Act = Act::Continued { who: 1 };

// Each is what a program with one fault would leave behind.
#[test_case(vec![], &[(5.0, "suspect"), (9.0, "alive")], &[]; "a suspicion is nothing")]
#[test_case(vec![], &[(5.0, "silent"), (9.0, "alive")], &["n0 holds n1, which runs, to be silent"]; "buried alive")]
#[test_case(vec![(4.0, KILLED)], &[(5.0, "silent")], &[]; "found")]
#[test_case(vec![(4.0, KILLED)], &[(3.0, "ended")], &["n0 holds n1, which runs, to be ended"]; "known before it was")]
#[test_case(vec![(4.0, KILLED)], &[(5.0, "alive")], &["n0 holds n1 to be alive at the end"]; "not found")]
#[test_case(vec![(4.0, KILLED)], &[(5.0, "ended"), (6.0, "alive"), (7.0, "ended")], &["n0 brings back n1, a life that is over"]; "brought back")]
#[test_case(vec![(4.0, STOPPED), (20_004.0, CONTINUED), (20_100.0, KILLED)], &[(9000.0, "silent"), (20_200.0, "alive"), (20_300.0, "ended")], &[]; "its last word comes after its end")]
#[test_case(vec![(4.0, STOPPED), (20_004.0, CONTINUED), (20_100.0, KILLED)], &[(9000.0, "silent"), (20_200.0, "silent"), (20_300.0, "alive"), (20_400.0, "ended")], &["n0 brings back n1, a life that is over"]; "brought back after its end was seen")]
#[test_case(vec![(4.0, STOPPED), (2004.0, CONTINUED)], &[(2000.0, "silent"), (3000.0, "alive")], &["n0 holds n1, which runs, to be silent"]; "a pause that must be borne")]
#[test_case(vec![(4.0, STOPPED), (20_004.0, CONTINUED)], &[(9000.0, "silent"), (21_000.0, "alive")], &[]; "a pause that is too long")]
fn faults_are_found(acts: Vec<(f64, Act)>, seen: &[(f64, &str)], wanted: &[&str]) {
    assert_eq!(broken(acts, seen), wanted);
}
