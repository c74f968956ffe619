//! Formats results as CSV and as text.

use std::fmt::Write as _;

use hdrhistogram::Histogram;

use crate::stats;
use crate::table;

const MICROS_PER_MILLI: f64 = 1_000.0;

/// A column of the CSV and of the text table.
struct Column {
    name: &'static str,
    value: fn(&stats::KindStats, f64) -> String,
}

const COLUMNS: &[Column] = &[
    Column {
        name: "sent",
        value: |kind, _| kind.sent.to_string(),
    },
    Column {
        name: "done",
        value: |kind, _| kind.done.to_string(),
    },
    Column {
        name: "accepted",
        value: |kind, _| kind.accepted.to_string(),
    },
    Column {
        name: "not_run",
        value: |kind, _| stats::KindStats::sum(&kind.not_run).to_string(),
    },
    Column {
        name: "unknown",
        value: |kind, _| stats::KindStats::sum(&kind.unknown).to_string(),
    },
    Column {
        name: "wrong",
        value: |kind, _| kind.wrong.to_string(),
    },
    Column {
        name: "missing",
        value: |kind, _| kind.missing.to_string(),
    },
    Column {
        name: "latency_p50_ms",
        value: |kind, _| latency(kind, 0.5),
    },
    Column {
        name: "latency_p99_ms",
        value: |kind, _| latency(kind, 0.99),
    },
    Column {
        name: "latency_p999_ms",
        value: |kind, _| latency(kind, 0.999),
    },
    Column {
        name: "waited_p50_ms",
        value: |kind, _| waited(kind, 0.5),
    },
    Column {
        name: "waited_p99_ms",
        value: |kind, _| waited(kind, 0.99),
    },
    Column {
        name: "waited_p999_ms",
        value: |kind, _| waited(kind, 0.999),
    },
    Column {
        name: "urgent_within",
        value: |kind, _| kind.urgent_within.to_string(),
    },
    Column {
        name: "goodput_per_s",
        value: |kind, seconds| goodput(kind, seconds),
    },
];

/// Returns the results as CSV, with one line per kind and one for the total.
///
/// Times include only tasks that were done; `urgent_within` counts urgent tasks that started within
/// 6,300 ms. Each reason has its own column.
#[must_use]
pub fn csv(results: &stats::Results) -> String {
    let mut text = String::from("kind");
    COLUMNS.iter().for_each(|column| {
        let _ = write!(text, ",{}", column.name);
    });
    for reason in model::NotRunReason::ALL {
        let _ = write!(text, ",not_run.{reason}");
    }
    for reason in model::UnknownReason::ALL {
        let _ = write!(text, ",unknown.{reason}");
    }
    text.push('\n');
    for kind in rows(results) {
        let _ = writeln!(text, "{}", csv_line(&kind, results.duration.as_secs_f64()));
    }
    text
}

fn csv_line(kind: &stats::KindStats, seconds: f64) -> String {
    let mut cells = vec![kind.name.clone()];
    cells.extend(COLUMNS.iter().map(|column| (column.value)(kind, seconds)));
    let not_run = model::NotRunReason::ALL.iter();
    cells.extend(not_run.map(|reason| count(kind.not_run.get(reason))));
    let unknown = model::UnknownReason::ALL.iter();
    cells.extend(unknown.map(|reason| count(kind.unknown.get(reason))));
    cells.join(",")
}

/// Returns the results as a text report.
#[must_use]
pub fn text(results: &stats::Results) -> String {
    let seconds = results.duration.as_secs_f64();
    let mut header = vec!["kind".to_owned()];
    header.extend(COLUMNS.iter().map(|column| column.name.to_owned()));
    let mut lines = vec![header];
    lines.extend(rows(results).iter().map(|kind| {
        let mut cells = vec![kind.name.clone()];
        cells.extend(COLUMNS.iter().map(|column| (column.value)(kind, seconds)));
        cells
    }));
    let mut text =
        format!("requests sent for {seconds} s; times include only tasks that were done\n\n");
    text += &table::format(&lines);
    text += &reasons(results);
    text += &urgent(results);
    for note in &results.notes {
        let _ = writeln!(text, "{note}");
    }
    text
}

fn reasons(results: &stats::Results) -> String {
    let mut text = String::new();
    for kind in &results.kinds {
        for (reason, count) in &kind.not_run {
            let _ = writeln!(text, "{}: not run, {reason}: {count}", kind.name);
        }
        for (reason, count) in &kind.unknown {
            let _ = writeln!(text, "{}: unknown, {reason}: {count}", kind.name);
        }
    }
    if text.is_empty() {
        text
    } else {
        format!("\n{text}")
    }
}

fn urgent(results: &stats::Results) -> String {
    let kinds = results.kinds.iter().filter(|kind| kind.is_urgent);
    let (sent, done, within) = kinds.fold((0, 0, 0), |(sent, done, within), kind| {
        (
            sent + kind.sent,
            done + kind.done,
            within + kind.urgent_within,
        )
    });
    if sent == 0 {
        return String::new();
    }
    let limit_ms = stats::URGENT_START_LIMIT_MS;
    let share = 100.0 * within as f64 / sent as f64;
    format!(
        "\nurgent: {within} of {sent} sent ({share:.2}%) started within {limit_ms} ms and were \
         done, of {done} done\n"
    )
}

fn rows(results: &stats::Results) -> Vec<stats::KindStats> {
    let mut rows = results.kinds.clone();
    rows.push(results.total());
    rows
}

fn count(count: Option<&u64>) -> String {
    count.copied().unwrap_or_default().to_string()
}

fn latency(kind: &stats::KindStats, quantile: f64) -> String {
    let micros = value_at(&kind.latency_us, quantile);
    micros.map_or_else(String::new, |micros| {
        format!("{:.1}", micros as f64 / MICROS_PER_MILLI)
    })
}

fn waited(kind: &stats::KindStats, quantile: f64) -> String {
    let millis = value_at(&kind.waited_ms, quantile);
    millis.map_or_else(String::new, |millis| millis.to_string())
}

fn value_at(histogram: &Histogram<u64>, quantile: f64) -> Option<u64> {
    (!histogram.is_empty()).then(|| histogram.value_at_quantile(quantile))
}

fn goodput(kind: &stats::KindStats, seconds: f64) -> String {
    format!("{:.1}", kind.done as f64 / seconds)
}
