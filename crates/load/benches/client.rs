//! Processor time of the load client at 1,000 requests per second, including the test server.

// The tests use more of this module than the benchmark.
#[allow(dead_code)]
#[path = "../tests/common/mod.rs"]
mod common;

use std::fs;

const EXPERIMENT: &str = "
[experiment]
duration_s = 10
rate_per_s = 1000
instances = 127.0.0.1:1

[kind badge]
customer = customer
token = customer-token
output_bytes = 1000
";
const TICKS_PER_S: f64 = 100.0;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let mut experiment = load::Experiment::parse("bench.ini", EXPERIMENT).expect("no findings");
    let (address, _serving) = common::start(common::AnswerMode::Expected).await;
    experiment.instances = vec![address];
    let before_s = processor_s();
    let results = load::run(&experiment, 1).await;
    let used_s = processor_s() - before_s;
    print!("{}", load::text(&results));
    let cores = used_s / results.duration.as_secs_f64();
    println!("processor time: {cores:.3} cores, client and test server together");
}

/// Returns the processor time of this process, in seconds.
fn processor_s() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks
        .filter_map(|ticks| ticks.parse::<f64>().ok())
        .sum::<f64>()
        / TICKS_PER_S
}
