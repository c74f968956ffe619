//! The revision in force never decreases and ends at the highest valid one.

use std::sync;

use proptest::prelude::*;

/// One list as offered by the store or a peer.
#[derive(Clone, Copy, Debug)]
struct Offered {
    revision: model::Revision,
    valid: bool,
}

fn list_text(offered: Offered, valid_text: &str) -> model::ListText {
    let text = if offered.valid {
        valid_text
    } else {
        "[x]\nnonsense = 1\n"
    };
    model::ListText {
        revision: offered.revision,
        text: sync::Arc::from(format!("# revision {}\n{text}", offered.revision)),
    }
}

fn state(customers: Offered, plans: Offered) -> model::ListsState {
    let digest = "0123456789abcdef".repeat(4);
    let customer = format!("[a]\nplan = p\nregion = r\ntoken_sha256 = {digest}\n");
    model::ListsState {
        customers: list_text(customers, &customer),
        plans: list_text(plans, "[p]\nclasses = batch\n"),
    }
}

/// Validity depends only on the revision, because the store has one text for each revision.
fn offered() -> impl Strategy<Value = Offered> {
    (0_i64..40).prop_map(|revision| Offered {
        revision,
        valid: revision % 3 != 0,
    })
}

fn highest_valid(offers: impl Iterator<Item = Offered>) -> model::Revision {
    let valid = offers.filter(|offered| offered.valid);
    valid.map(|offered| offered.revision).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_order_ends_at_the_highest_valid_revision(
        offers in prop::collection::vec((offered(), offered()), 0..30),
    ) {
        let mut in_force = lists::ListsInForce::new();
        let mut before = (0, 0);
        for (customers, plans) in &offers {
            let applied = in_force.apply(&state(*customers, *plans));
            let after = (
                in_force.revision(lists::List::Customers),
                in_force.revision(lists::List::Plans),
            );
            prop_assert!(after.0 >= before.0 && after.1 >= before.1);
            prop_assert_eq!(applied.changed, after != before);
            let text = &in_force.state().customers.text;
            let first_line = format!("# revision {}\n", after.0);
            prop_assert!(after.0 == 0 || text.starts_with(&first_line));
            prop_assert_eq!(in_force.lists().customers().len(), usize::from(after.0 > 0));
            before = after;
        }
        let customers = highest_valid(offers.iter().map(|(customers, _)| *customers));
        let plans = highest_valid(offers.iter().map(|(_, plans)| *plans));
        prop_assert_eq!(before, (customers, plans));
        prop_assert_eq!(in_force.is_complete(), customers > 0 && plans > 0);
    }
}

#[test]
fn a_faulty_revision_is_reported_once_and_not_applied() {
    let mut in_force = lists::ListsInForce::new();
    let valid = |revision| Offered {
        revision,
        valid: true,
    };
    assert!(in_force.apply(&state(valid(4), valid(4))).changed);
    let faulty = Offered {
        revision: 9,
        valid: false,
    };
    let first = in_force.apply(&state(faulty, valid(4)));
    assert!(!first.changed);
    assert!(
        first.findings.to_string().starts_with("customers@9:"),
        "{}",
        first.findings
    );
    assert_eq!(
        in_force.apply(&state(faulty, valid(4))),
        lists::ApplyResult::default()
    );
    assert_eq!(in_force.revision(lists::List::Customers), 4);
    assert!(in_force.apply(&state(valid(7), valid(4))).changed);
    assert_eq!(in_force.revision(lists::List::Customers), 7);
}
