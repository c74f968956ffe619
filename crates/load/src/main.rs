//! Open-loop load with latency histograms.

fn main() {}
