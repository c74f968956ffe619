//! The attempts to get a caller's request answered by the leader.

/// Time after which callers should retry while there is no leader, in milliseconds.
const NO_LEADER_RETRY_MS: u64 = 1_000;

/// The attempts of one request of a caller.
///
/// An attempt without a reply may have taken effect. A leader of a later term has recovered
/// everything that earlier terms have stored, and nothing of theirs is stored after that, so its
/// refusal is true of all earlier attempts; a refusal within the same term is not, as the
/// unanswered attempt may still be handled.
#[derive(Clone, Debug)]
pub struct Attempts {
    is_submission: bool,
    /// Latest term in which an attempt has remained unanswered.
    unanswered_term: Option<model::Term>,
}

impl Attempts {
    /// Creates the state of a request before its first attempt.
    #[must_use]
    pub fn new(request: &model::JobRequest) -> Self {
        Self {
            is_submission: matches!(request, model::JobRequest::Submit(_)),
            unanswered_term: None,
        }
    }

    /// Records an attempt at the leader of `term` that may have taken effect without a reply.
    pub fn record_unanswered(&mut self, term: model::Term) {
        self.unanswered_term = self.unanswered_term.max(Some(term));
    }

    /// Returns whether an attempt may have taken effect without a reply.
    #[must_use]
    pub fn is_in_doubt(&self) -> bool {
        self.unanswered_term.is_some()
    }

    /// Handles the reply of the leader of `term`; returns it if it may be passed to the caller,
    /// `None` if the request has to be sent again.
    #[must_use]
    pub fn accept(&mut self, reply: model::JobReply, term: model::Term) -> Option<model::JobReply> {
        match reply {
            model::JobReply::NotLeading => None,
            model::JobReply::Undecided => {
                self.record_unanswered(term);
                None
            }
            model::JobReply::Refused { .. } if self.unanswered_term >= Some(term) => None,
            reply => Some(reply),
        }
    }

    /// Returns the reply to a caller whose request got none from a leader in time.
    ///
    /// A submission may repeat one that another instance has passed on, so that without a leader no
    /// instance can tell that the job will not run.
    #[must_use]
    pub fn timeout_reply(&self) -> model::JobReply {
        if self.is_submission || self.is_in_doubt() {
            return model::JobReply::Undecided;
        }
        model::JobReply::Refused {
            reason: model::RefusalReason::NoLeader,
            retry_after_ms: NO_LEADER_RETRY_MS,
        }
    }
}
