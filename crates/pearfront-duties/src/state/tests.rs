use super::*;

fn grantee(name: &str, life: u64, most: u32) -> Grantee {
    Grantee {
        who: ProcessId { name: name.into(), life },
        lease: 8000.0,
        outlives_process: false,
        max_holders: most,
    }
}

fn apply(duties: &mut Duties, at: f64, command: Command) -> Vec<Change> {
    duties.apply(&Entry { at, command }.encode())
}

fn grant(duties: &mut Duties, duty: &str, to: Grantee) -> Option<u64> {
    match &apply(duties, 0.0, Command::Grant { duty: duty.into(), to })[..] {
        [Change::Granted { holder, .. }] => Some(holder.token),
        _ => None,
    }
}

fn end(duty: &str, token: u64, next: Option<Grantee>, succeeded: bool) -> Command {
    Command::End { duty: duty.into(), token, next, succeeded }
}

#[test]
fn next_holder_gets_a_higher_token_after_the_first_has_ended() {
    let mut duties = Duties::default();
    assert_eq!(grant(&mut duties, "export", grantee("a", 1, 1)), Some(1));
    assert_eq!(grant(&mut duties, "export", grantee("b", 2, 1)), None);
    // Ending a token that has ended already does not affect the current holder.
    let changes = apply(&mut duties, 5.0, end("export", 1, Some(grantee("b", 2, 1)), false));
    assert!(
        matches!(&changes[..], [Change::Ended { .. }, Change::Granted { holder, .. }] if holder.token == 2)
    );
    assert_eq!(apply(&mut duties, 6.0, end("export", 1, Some(grantee("a", 1, 1)), false)), []);
    assert_eq!(duties.holders("export")[0].who.name, "b");
}

#[test]
fn tokens_keep_rising_for_a_duty_that_was_removed() {
    let mut duties = Duties::default();
    grant(&mut duties, "export", grantee("a", 1, 1));
    apply(&mut duties, 1.0, end("export", 1, None, false));
    assert!(duties.get("export").is_none());
    assert_eq!(grant(&mut duties, "export", grantee("a", 1, 1)), Some(2));
}

#[test]
fn duty_with_several_holders_grants_each_process_once() {
    let mut duties = Duties::default();
    assert_eq!(grant(&mut duties, "drain/a", grantee("a", 1, 2)), Some(1));
    assert_eq!(grant(&mut duties, "drain/a", grantee("a", 1, 2)), None);
    assert_eq!(grant(&mut duties, "drain/a", grantee("b", 2, 2)), Some(2));
    assert_eq!(grant(&mut duties, "drain/a", grantee("c", 3, 2)), None);
}

#[test]
fn successful_run_is_recorded_with_the_log_time_which_never_goes_back() {
    let mut duties = Duties::default();
    grant(&mut duties, "export", grantee("a", 1, 1));
    apply(&mut duties, 500.0, Command::Time);
    apply(&mut duties, 100.0, end("export", 1, None, true));
    assert_eq!(duties.get("export").unwrap().last_run, Some(LastRun { at: 500.0, by: "a".into() }));
    let back = Duties::decode(&duties.encode());
    assert_eq!(back, Some(duties));
}

#[test]
fn invalid_entry_changes_nothing() {
    let mut duties = Duties::default();
    grant(&mut duties, "export", grantee("a", 1, 1));
    let before = duties.clone();
    assert_eq!(duties.apply(&[]), []);
    assert_eq!(duties.apply(&[255; 9]), []);
    assert_eq!(duties, before);
    assert_eq!(Duties::decode(b"no"), None);
}
