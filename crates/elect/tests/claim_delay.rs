//! Order in which instances claim the leadership.

use std::time;

fn member(name: &str, strength_milli: u32) -> elect::Member {
    elect::Member {
        instance_id: name.into(),
        address: name.into(),
        strength_milli,
    }
}

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

#[test]
fn instance_near_the_store_claims_first_among_equals() {
    let mut view = elect::ClusterView::new(1);
    let members = ["a", "b", "c"].map(|name| member(name, 500));
    for one in &members {
        view.put_member(&*one.instance_id, one.clone());
    }
    let far = view.claim_delay(&members[0], ms(28));
    let near = view.claim_delay(&members[2], ms(5));
    assert!(near < far, "near {near:?}, far {far:?}");
}

#[test]
fn weak_machine_near_the_store_does_not_claim_before_a_strong_one() {
    let mut view = elect::ClusterView::new(1);
    view.set_recorded_strength(500);
    let (weak, strong) = (member("a", 120), member("b", 500));
    view.put_member("a", weak.clone());
    view.put_member("b", strong.clone());
    assert!(view.claim_delay(&strong, ms(50)) < view.claim_delay(&weak, ms(5)));
}

#[test]
fn slow_store_delays_claims_by_a_bounded_time() {
    let mut view = elect::ClusterView::new(1);
    let one = member("a", 500);
    view.put_member("a", one.clone());
    assert!(view.claim_delay(&one, ms(2_000)) <= ms(200));
}
