//! Which engines of a silent run are taken for down.

use clementine_decide::fleet::{Reach, unreachable};
use clementine_decide::ids::BackendId;

fn down(reached: &[Reach]) -> Vec<BackendId> {
    let named = reached.iter().enumerate();
    let named: Vec<_> =
        named.map(|(n, reach)| (BackendId::from(format!("e{n}").as_str()), *reach)).collect();
    unreachable(&named)
}

#[test]
fn an_engine_whose_instance_refuses_is_down_whatever_the_others_do() {
    assert_eq!(down(&[Reach::NoAnswer, Reach::Refused]), ["e1".into()]);
}

#[test]
fn an_engine_that_is_silent_among_others_that_answer_is_down() {
    let ok = Reach::Connected;
    assert_eq!(down(&[ok, ok, Reach::NoAnswer, ok]), ["e2".into()]);
}

#[test]
fn an_entry_that_reaches_few_engines_takes_none_for_down() {
    assert_eq!(down(&[Reach::NoAnswer; 4]), []);
    assert_eq!(down(&[Reach::Connected, Reach::NoAnswer, Reach::Connected]), []);
}
