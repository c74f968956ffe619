//! Open-loop load with latency histograms.
