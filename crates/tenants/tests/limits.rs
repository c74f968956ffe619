//! Sums of resources, caps, buckets, shares and the load from which jobs beyond a rate are refused.

use std::time;

use proptest::prelude::*;

fn demand(processors_milli: u32, memory_mb: u32) -> model::Demand {
    model::Demand {
        processors_milli,
        memory_mb,
        accelerators: 0,
    }
}

fn amounts(processors_milli: u64, memory_mb: u64) -> tenants::Amounts {
    tenants::Amounts {
        processors_milli,
        memory_mb,
        accelerators: 0,
    }
}

fn cap(processors_milli: u64) -> tenants::Cap {
    tenants::Cap {
        processors_milli: Some(processors_milli),
        ..tenants::Cap::default()
    }
}

/// Guards against sums that overflow or saturate at 32 bits: the memory of some thousand workers does.
#[test]
fn sums_exceed_32_bits() {
    let mut usage = tenants::Usage::default();
    for _ in 0..3 {
        usage.add(7, &demand(u32::MAX, 1));
    }
    assert_eq!(usage.of(7), amounts(3 * u64::from(u32::MAX), 3));
    assert_eq!(usage.of(6), tenants::Amounts::default());
}

/// Guards against a run that is removed twice and hides use of others.
#[test]
fn removal_of_an_unknown_run_is_an_error() {
    let mut usage = tenants::Usage::default();
    usage.add(1, &demand(500, 10));
    assert_eq!(usage.remove(1, &demand(500, 10)), Ok(()));
    assert_eq!(usage.remove(1, &demand(500, 10)), Err(tenants::UnknownRun));
    assert_eq!(usage.of(1), tenants::Amounts::default());
}

/// Guards against a cap that holds back what needs nothing of the exceeded resource.
#[test]
fn an_exceeded_cap_admits_what_needs_nothing_of_the_resource() {
    let used = amounts(2_000, 50);
    assert!(cap(1_000).admits(&used, &amounts(0, 10)));
    assert!(!cap(1_000).admits(&used, &amounts(1, 0)));
    assert_eq!(cap(1_000).count_fitting(&used, &demand(0, 10)), u32::MAX);
    assert!(!cap(1_000).is_exceeded(&used, &demand(0, 10)));
    assert!(cap(1_000).is_exceeded(&used, &demand(1, 0)));
}

proptest! {
    /// As many tasks as are said to fit are admitted, and one more is not.
    #[test]
    fn count_fitting_agrees_with_admits(
        limit in 0_u64..20_000,
        used in 0_u64..25_000,
        each in 1_u32..5_000,
    ) {
        let (cap, used, demand) = (cap(limit), amounts(used, 0), demand(each, 1));
        let count = cap.count_fitting(&used, &demand);
        prop_assert!(count == 0 || cap.admits(&used, &tenants::Amounts::of_tasks(&demand, count)));
        prop_assert!(!cap.admits(&used, &tenants::Amounts::of_tasks(&demand, count + 1)));
    }

    /// However often it is asked, a bucket never gives more than its burst and its rate, and a token is
    /// there after the time that it tells.
    #[test]
    fn bucket_keeps_its_rate_and_tells_the_time_truthfully(
        rate_milli in 1_u64..100_000,
        pauses_ms in prop::collection::vec(0_u64..400, 1..200),
    ) {
        let burst = time::Duration::from_secs(10);
        let begin = time::Instant::now();
        let mut bucket = tenants::Bucket::full(burst, rate_milli, begin);
        let (mut now, mut taken) = (begin, 0_u64);
        for pause_ms in pauses_ms {
            now += time::Duration::from_millis(pause_ms);
            while bucket.try_acquire(1, now) {
                taken += 1;
            }
            let wait = bucket.time_to_token(now).expect("it has a rate");
            prop_assert!(wait > time::Duration::ZERO);
            prop_assert!(bucket.clone().try_acquire(1, now + wait));
        }
        let elapsed_ms = now.duration_since(begin).as_millis() as u64;
        let burst_milli = (rate_milli * 10).max(1_000);
        prop_assert!(taken * 1_000 <= burst_milli + rate_milli * elapsed_ms / 1_000 + 1);
    }
}

/// The band depends on the resource of which a tenant uses the largest fraction, and on its part of the
/// active weights.
#[test]
fn bands_follow_the_dominant_resource_and_the_weight() {
    let division = tenants::Division {
        capacity: amounts(100_000, 1_000),
        active_weight: 4.0,
    };
    let band = |weight, used| division.band(weight, &used);
    assert_eq!(band(1.0, amounts(25_000, 0)), tenants::Band::Within);
    assert_eq!(band(1.0, amounts(25_000, 400)), tenants::Band::Above);
    assert_eq!(band(1.0, amounts(51_000, 0)), tenants::Band::FarAbove);
    assert_eq!(band(4.0, amounts(100_000, 1_000)), tenants::Band::Within);
}

/// Guards against refusals on workers with room, or while nobody else waits.
#[test]
fn jobs_beyond_a_rate_are_refused_only_on_full_workers_where_others_wait() {
    let load = tenants::Load {
        used_fraction: 0.95,
        others_wait: true,
        waiting_steps: 10,
        max_waiting_steps: 20_000,
    };
    assert!(load.refuses_beyond_rate());
    let alone = tenants::Load {
        others_wait: false,
        ..load
    };
    assert!(!alone.refuses_beyond_rate());
    let idle = tenants::Load {
        used_fraction: 0.5,
        ..load
    };
    assert!(!idle.refuses_beyond_rate());
    let backlog = tenants::Load {
        waiting_steps: 10_001,
        ..idle
    };
    assert!(backlog.refuses_beyond_rate());
}
