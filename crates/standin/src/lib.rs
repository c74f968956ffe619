//! Small stand-ins for the platform, for tests.
