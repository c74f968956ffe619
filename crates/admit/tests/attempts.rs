//! Which replies are true after attempts that remained unanswered.

fn submission() -> model::JobRequest {
    model::JobRequest::Submit(Box::new(model::Job {
        id: 7,
        queue: "packs".into(),
        spec: "".into(),
        steps: Vec::new(),
        schedule: None,
    }))
}

fn refusal() -> model::JobReply {
    model::JobReply::Refused {
        reason: model::RefusalReason::StoreUnavailable,
        retry_after_ms: 1_000,
    }
}

#[test]
fn refusal_of_the_same_term_is_not_passed_on_after_an_unanswered_attempt() {
    let mut attempts = admit::Attempts::new(&submission());
    attempts.record_unanswered(5);
    assert_eq!(attempts.accept(refusal(), 5), None);
    assert_eq!(attempts.timeout_reply(), model::JobReply::Undecided);
}

#[test]
fn refusal_of_a_later_term_is_true_of_earlier_attempts() {
    let mut attempts = admit::Attempts::new(&submission());
    attempts.record_unanswered(5);
    assert_eq!(attempts.accept(refusal(), 9), Some(refusal()));
}

#[test]
fn refusal_is_not_passed_on_while_a_later_leader_may_have_accepted() {
    let mut attempts = admit::Attempts::new(&submission());
    attempts.record_unanswered(9);
    attempts.record_unanswered(5);
    assert_eq!(attempts.accept(refusal(), 5), None);
    assert_eq!(attempts.accept(refusal(), 9), None);
}

#[test]
fn undecided_reply_leaves_the_attempt_unanswered() {
    let mut attempts = admit::Attempts::new(&submission());
    assert_eq!(attempts.accept(model::JobReply::Undecided, 5), None);
    assert!(attempts.is_in_doubt());
    assert_eq!(
        attempts.accept(model::JobReply::Accepted, 5),
        Some(model::JobReply::Accepted)
    );
}

/// An operator's tale: an answer was lost, and the caller was then told by another instance, which
/// had no leader, that the job had not run.
#[test]
fn submission_without_a_leader_is_not_said_to_have_had_no_effect() {
    let attempts = admit::Attempts::new(&submission());
    assert_eq!(attempts.timeout_reply(), model::JobReply::Undecided);
}

#[test]
fn read_without_a_leader_is_refused_with_a_retry_delay() {
    let attempts = admit::Attempts::new(&model::JobRequest::Status { job_id: 7 });
    let model::JobReply::Refused {
        reason,
        retry_after_ms,
    } = attempts.timeout_reply()
    else {
        panic!("a read has no effect that could be unknown");
    };
    assert_eq!(reason, model::RefusalReason::NoLeader);
    assert!(retry_after_ms > 0);
}
