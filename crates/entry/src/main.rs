//! The scheduler instance.

fn main() {}
