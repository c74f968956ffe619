//! Small stand-ins for the platform, for tests.

fn main() {}
