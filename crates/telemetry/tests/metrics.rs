//! Counters, gauges and timings.

use std::io;
use std::sync::mpsc;
use std::thread;
use std::time;

/// Sends each emitted metric to a channel.
struct ChannelSink(mpsc::SyncSender<String>);

impl cadence::MetricSink for ChannelSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let _ = self.0.send(metric.to_owned());
        Ok(metric.len())
    }
}

#[test]
fn flush_sends_the_counts_since_the_last_flush() {
    let (sender, sent) = mpsc::sync_channel(16);
    let metrics = telemetry::Metrics::to_sink(ChannelSink(sender), "ferry");
    metrics.count("not_run.queue_full");
    metrics.clone().count_by("not_run.queue_full", 2);
    metrics.gauge("queued", 7);
    metrics.flush();
    assert_eq!(sent.recv().unwrap(), "ferry.not_run.queue_full:3|c");
    assert_eq!(sent.recv().unwrap(), "ferry.queued:7|g");
    metrics.count("not_run.queue_full");
    metrics.time("wait", time::Duration::from_millis(12));
    assert_eq!(sent.recv().unwrap(), "ferry.wait:12|ms");
    drop(metrics);
    assert_eq!(sent.recv().unwrap(), "ferry.not_run.queue_full:1|c");
}

#[test]
fn counting_does_not_block_while_the_sink_does() {
    let (sender, _receiver) = mpsc::sync_channel(0);
    let metrics = telemetry::Metrics::to_sink(ChannelSink(sender), "ferry");
    for _ in 0..10_000 {
        metrics.count("starts");
        metrics.time("wait", time::Duration::from_millis(1));
        metrics.flush();
    }
    assert_eq!(metrics.snapshot()["starts"], 10_000);
}

#[test]
fn clones_share_counters_over_threads() {
    let metrics = telemetry::Metrics::without_exporter();
    thread::scope(|scope| {
        for _ in 0..4 {
            let metrics = metrics.clone();
            scope.spawn(move || (0..1_000).for_each(|_| metrics.count("starts")));
        }
    });
    metrics.count_by("refusals", 0);
    let snapshot = metrics.snapshot();
    assert_eq!(snapshot["starts"], 4_000);
    assert_eq!(snapshot["refusals"], 0);
}

/// Guards against names from a manifest that break the lines of a report, or its hierarchy of names.
#[test]
fn parts_of_names_have_no_separators() {
    assert_eq!(telemetry::metric_part("team-1_x"), "team-1_x");
    assert_eq!(telemetry::metric_part("a.b c\nd"), "a_b_c_d");
}

/// Guards against quantiles that are all the same: a histogram that does not grow counts every duration
/// as 2 us.
#[test]
fn quantiles_of_a_timing_cover_microseconds_to_hours() {
    let metrics = telemetry::Metrics::without_exporter();
    for duration_ms in [1, 20, 300] {
        metrics.time("wait", time::Duration::from_millis(duration_ms));
    }
    let report = metrics.report();
    assert_eq!(report["wait.count"], 3);
    assert!(
        (19_800..=20_200).contains(&report["wait.p50_us"]),
        "{report:?}"
    );
    assert!(
        (297_000..=303_000).contains(&report["wait.max_us"]),
        "{report:?}"
    );
    metrics.time("wait", time::Duration::MAX);
    let longest = metrics.report()["wait.max_us"];
    assert!(longest >= 3_600_000_000, "{longest}");
}
