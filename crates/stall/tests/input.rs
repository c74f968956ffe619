//! Tests of the detection of stalls, with times given by the test.
#![allow(clippy::unwrap_used)]

use std::time;

const TICK: time::Duration = time::Duration::from_millis(200);
const STALL: time::Duration = time::Duration::from_secs(4);

/// A monitor and the time.
struct Clock {
    monitor: stall::Monitor,
    metrics: telemetry::Metrics,
    now: stall::Uptime,
}

impl Clock {
    fn new() -> Self {
        let metrics = telemetry::Metrics::without_exporter();
        let clock = Self {
            monitor: stall::Monitor::new(metrics.clone()),
            metrics,
            now: time::Duration::from_secs(1_000),
        };
        clock.monitor.tick(clock.now);
        clock
    }

    fn input(&self) -> stall::Input {
        stall::Input::empty_at(self.monitor.clone(), self.now)
    }

    fn tick_for(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now += TICK;
            self.monitor.tick(self.now);
        }
    }

    fn stalls(&self) -> u64 {
        let report = self.metrics.report();
        report.get("process.stalls").copied().unwrap_or_default()
    }
}

/// Guards against the rejection of requests on a connection that was merely idle.
#[test]
fn what_arrives_while_the_process_runs_has_a_known_age() {
    let mut clock = Clock::new();
    let mut input = clock.input();
    clock.tick_for(1_000);
    assert!(input.record_read(false, clock.now));
    assert!(input.record_read(true, clock.now));
    assert_eq!(clock.stalls(), 0);
}

/// Guards against a submission that waited during a freeze and is read before the late tick, or after.
#[test]
fn what_was_read_after_a_stall_has_an_unknown_age() {
    for ticks_before_read in 0..=3 {
        let mut clock = Clock::new();
        let mut input = clock.input();
        clock.now += STALL;
        clock.tick_for(ticks_before_read);
        assert!(
            !input.record_read(true, clock.now),
            "{ticks_before_read} ticks after the stall"
        );
        assert!(input.record_read(true, clock.now));
        assert_eq!(clock.stalls(), 1);
    }
}

/// Guards against requests behind the first one on a connection, which have waited as long.
#[test]
fn the_age_stays_unknown_until_the_socket_is_empty() {
    let mut clock = Clock::new();
    let mut input = clock.input();
    clock.now += STALL;
    assert!(!input.record_read(false, clock.now));
    clock.tick_for(50);
    assert!(!input.record_read(false, clock.now));
    input.record_nothing(clock.now);
    assert!(input.record_read(false, clock.now));
}

/// Guards against a socket that only seems empty, as the event loop has not heard of its data yet.
#[test]
fn an_empty_socket_proves_nothing_right_after_a_stall() {
    let mut clock = Clock::new();
    let mut input = clock.input();
    clock.now += STALL;
    input.record_nothing(clock.now);
    assert!(!input.record_read(false, clock.now));
    clock.tick_for(1);
    input.record_nothing(clock.now);
    assert!(!input.record_read(false, clock.now));
    clock.tick_for(1);
    input.record_nothing(clock.now);
    assert!(input.record_read(false, clock.now));
}

/// Guards against the loss of the first of two stalls in a row.
#[test]
fn a_second_stall_counts_anew() {
    let mut clock = Clock::new();
    let mut input = clock.input();
    clock.now += STALL;
    assert!(!input.record_read(true, clock.now));
    clock.now += STALL;
    assert!(!input.record_read(true, clock.now));
    clock.tick_for(1);
    assert!(input.record_read(true, clock.now));
    assert_eq!(clock.stalls(), 2);
}

/// Guards against rejected requests during a planned stop, when the ticks have ended.
#[tokio::test]
async fn nothing_is_detected_once_the_ticks_end() {
    let metrics = telemetry::Metrics::without_exporter();
    let monitor = stall::Monitor::new(metrics.clone());
    let stop = tokio_util::sync::CancellationToken::new();
    stop.cancel();
    let now = stall::uptime();
    monitor.tick(now);
    monitor.clone().run(stop).await;
    let mut input = stall::Input::empty_at(monitor, now);
    assert!(input.record_read(false, now + STALL));
    assert!(!metrics.report().contains_key("process.stalls"));
}
