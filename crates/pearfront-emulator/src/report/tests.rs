use super::*;

fn outcome(service: f64) -> Outcome {
    let second = |served: f64| Second { asked: 10.0, served, ..Second::default() };
    let seconds = vec![second(10.0), second(10.0), second(10.0 * service), second(10.0 * service)];
    Outcome {
        version: VERSION,
        scenario: "<a & b>".into(),
        play: "model".into(),
        policy: "module".into(),
        seed: 1,
        recorded: vec![(0.0, 1.0), (2.0, 0.5)],
        recorded_distance: None,
        verdict: Verdict { service, seconds, ..Verdict::default() },
    }
}

#[test]
fn a_recorded_curve_is_met_as_far_as_its_spans_say() {
    let distance = |service| outcome(service).distance().unwrap();
    assert!((distance(0.5), distance(0.7)) == (0.0, 0.1) || (distance(0.7) - 0.1).abs() < 1e-12);
}

#[test]
fn plays_together_may_be_nearer_than_each() {
    let (high, low) = (outcome(0.6), outcome(0.4));
    let together = Outcome::distance_together(&[high.clone(), low]).unwrap();
    assert!(together < 1e-12 && high.distance().unwrap() > 0.04, "{together}");
}

#[test]
fn a_result_is_read_back_as_it_was_and_another_version_is_refused() {
    let outcome = outcome(0.5);
    assert_eq!(Outcome::from_json(&outcome.json()).unwrap(), outcome);
    let newer = outcome.json().replace("\"version\": 1", "\"version\": 7");
    assert!(Outcome::from_json(&newer).unwrap_err().contains("version 7"));
}

#[test]
fn names_do_not_become_part_of_the_page() {
    let page = outcome(0.5).page().unwrap();
    assert!(page.contains("&lt;a &amp; b&gt;") && !page.contains("<a & b>"));
    assert_eq!(page.matches("<svg").count(), 3);
}

#[test]
fn a_difference_counts_only_beyond_what_seeds_do() {
    let set = |values: &[f64]| values.iter().map(|value| outcome(*value)).collect::<Vec<_>>();
    let says = |one: &[f64], other: &[f64]| compare(&set(one), &set(other)).unwrap()[0].says();
    assert_eq!(says(&[0.80, 0.81, 0.82], &[0.90, 0.91, 0.92]), "higher");
    assert_eq!(says(&[0.90, 0.91, 0.92], &[0.80, 0.81, 0.82]), "lower");
    assert_eq!(says(&[0.70, 0.90], &[0.75, 0.95]), "within noise");
    assert_eq!(says(&[0.70], &[0.95]), "within noise");
}
