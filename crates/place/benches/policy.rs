//! Simulates the waits of short tasks behind long ones, slot use and a load swing, by policy.

mod cell;

use std::time;

const fn seconds(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

const BADGE: cell::Kind = cell::Kind {
    name: "badge-form",
    plan: "expo",
    run: time::Duration::from_millis(400),
    share: 0.2,
    processors_milli: 1000,
    memory_mb: 2048,
    straggler_percent: 0,
    straggler_factor: 1,
    urgency: model::Urgency::Urgent,
    deadline: time::Duration::from_millis(6300),
};

const BOOKLET: cell::Kind = cell::Kind {
    name: "booklet",
    plan: "expo",
    run: seconds(5),
    share: 0.4,
    processors_milli: 4000,
    memory_mb: 16_384,
    straggler_percent: 0,
    straggler_factor: 1,
    urgency: model::Urgency::Normal,
    deadline: seconds(600),
};

const PACK: cell::Kind = cell::Kind {
    name: "pack",
    plan: "packs",
    run: seconds(40),
    share: 0.4,
    processors_milli: 8000,
    memory_mb: 32_768,
    straggler_percent: 3,
    straggler_factor: 12,
    urgency: model::Urgency::Normal,
    deadline: seconds(1800),
};

fn main() {
    println!("48 workers x 8 slots, waits in ms; badge forms 0.4 s, booklets 5 s, packs 40 s");
    println!("(3 % of the packs run 12 times longer); deadlines 6.3 s, 600 s, 1800 s");
    steady(0.7);
    steady(0.95);
    swing(0.6);
}

fn steady(load: f64) {
    println!("\nload {load}, 900 s including 300 s of warm-up");
    header();
    let experiment = |policy, kinds| cell::Experiment {
        policy,
        kinds,
        load,
        length: seconds(900),
        warm_up: seconds(300),
        swing: None,
    };
    for (name, policy) in POLICIES {
        let outcome = cell::run(&experiment(policy, vec![BADGE, BOOKLET, PACK]));
        print_outcome(name, &outcome);
    }
    let alone = cell::run(&experiment(place::Policy::Fair, vec![BADGE]));
    print_outcome("long absent", &alone);
}

fn swing(load: f64) {
    println!("\nload {load}, fourfold for 10 s from 300 s on; tasks accepted from 300 s on");
    header();
    for (name, policy) in POLICIES {
        let outcome = cell::run(&cell::Experiment {
            policy,
            kinds: vec![BADGE, BOOKLET, PACK],
            load,
            length: seconds(420),
            warm_up: seconds(300),
            swing: Some((seconds(300), seconds(10), 4.0)),
        });
        print_outcome(name, &outcome);
        println!(
            "             goodput in the swing {:.3} of the slots; last wait above 100 ms of a badge \
             form accepted after it: {:?} after its end",
            outcome.goodput_in_swing, outcome.recovered,
        );
    }
}

const POLICIES: [(&str, place::Policy); 2] = [
    ("baseline", place::Policy::Baseline),
    ("fair", place::Policy::Fair),
];

fn header() {
    println!(
        "{:<12} {:<11} {:>7} {:>8} {:>9} {:>9} {:>7} {:>7} {:>8} {:>6} {:>5}",
        "policy",
        "kind",
        "offered",
        "p50",
        "p99",
        "p99.9",
        "refused",
        "expired",
        "in 6.3 s",
        "busy",
        "ckpt"
    );
}

fn print_outcome(policy: &str, outcome: &cell::Outcome) {
    let names = [BADGE.name, BOOKLET.name, PACK.name];
    for (name, stats) in names.iter().zip(&outcome.kind_stats) {
        let ms = |quantile| stats.waits.value_at_quantile(quantile) as f64 / 1000.0;
        println!(
            "{policy:<12} {name:<11} {:>7} {:>8.1} {:>9.1} {:>9.1} {:>7} {:>7} {:>8.4} {:>6.3} {:>5}",
            stats.offered,
            ms(0.5),
            ms(0.99),
            ms(0.999),
            stats.refused,
            stats.expired,
            stats.in_time as f64 / stats.offered.max(1) as f64,
            outcome.busy,
            outcome.checkpoints,
        );
    }
}
