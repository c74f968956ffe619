//! Tests of time limits by the clock of a peer.

use std::time;

const fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// Guards against a limit that the peer reaches only after the sender has given up.
#[test]
fn the_limit_is_never_later_than_meant() {
    for transit_ms in [0, 3, 250, 4_000] {
        for age_ms in [0, 40, 9_000] {
            // The peer's process started when the sender's clock showed 70 s.
            let peer_started = ms(70_000);
            let read_at = ms(100_000);
            let received_at = read_at + ms(transit_ms);
            let clock = stall::PeerClock::new(read_at - peer_started, received_at);
            let limit = received_at + ms(age_ms) + ms(3_000);
            let reached_at = peer_started + clock.reading_at(limit);
            assert!(reached_at <= limit);
            // Only the transit of the reading is lost.
            assert_eq!(limit - reached_at, ms(transit_ms));
            // The same for a time before the reading.
            let earlier = received_at - ms(5_000);
            let reached_at = peer_started + clock.reading_at(earlier);
            assert_eq!(earlier - reached_at, ms(transit_ms));
            assert_eq!(clock.age(received_at + ms(age_ms)), ms(age_ms));
        }
    }
}
