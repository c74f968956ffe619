//! Decisions about partition ownership, idempotency and the intent journal.
