//! A term as leader: recovers the scheduler's state, then executes its actions.

use std::sync;
use std::time;

use store::Store as _;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task;
use tokio_util::sync::CancellationToken;

use crate::cluster_entries;
use crate::committer;
use crate::control_thread;
use crate::directory;
use crate::election;
use crate::error;
use crate::instance;
use crate::lease_authority;
use crate::orders;
use crate::platform;
use crate::relays;

/// Maximum number of entries read at once.
const PAGE_ENTRIES: u32 = 500;
/// How long a draining leader waits for a successor before it resigns.
const SUCCESSOR_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// How long a resigning leader waits for its last batches to be stored.
const FINAL_COMMIT_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Time as leader after which a weak machine yields to a stronger one: all machines have started by
/// then.
const MIN_TERM_BEFORE_YIELD: time::Duration = time::Duration::from_secs(3);
/// Timeout of a read of the worker directory: some hundred kilobytes over a slow link, or several
/// pages of a slow store.
const DIRECTORY_READ_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);
/// Share of the other instances that should relay before the first order.
const EXPECTED_RELAYS_PERCENT: usize = 80;
/// Longest wait for them: about as long as connecting to hundreds of workers takes.
const MAX_RELAY_WAIT: time::Duration = time::Duration::from_millis(200);
/// Time between two checks how many instances relay.
const RELAY_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Time between two checks of the conditions that end the term.
const TERM_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Leads until the term ends.
///
/// # Errors
///
/// Fails if the state cannot be recovered, or with the reason why the term ended if the instance
/// did not resign.
pub(crate) async fn lead<P: platform::Platform>(
    shared: &sync::Arc<instance::Shared<P>>,
    claimed: election::Claimed,
) -> Result<(), error::Error> {
    let term = claimed.term;
    let settings = &shared.settings;
    let authority = elect::LeaseAuthority::new(
        term,
        settings.lease_authority,
        settings.leadership_timeout,
        claimed.sent_at,
    );
    let takeover = jobs::Takeover {
        term,
        claimed_at: claimed.claimed_at,
        // The evidence reports the authority once the scheduler is built.
        authority_until: claimed.claimed_at,
        leadership_timeout: settings.leadership_timeout,
    };
    let recovered = recover(shared, takeover).await?;
    let (decisions, decisions_receiver) = mpsc::unbounded_channel();
    let control = control_thread::ControlThread::start(
        recovered.scheduler,
        shared.metrics.clone(),
        decisions,
        shared.settings.max_peer_bytes,
    )?;
    let term_ended = CancellationToken::new();
    let evidence = lease_authority::Evidence::new(authority, control.handle());
    let relays = sync::Arc::new(relays::Relays::new(
        shared,
        term,
        control.handle(),
        evidence.clone(),
        term_ended.clone(),
    ));
    let keeper = lease_authority::Keeper::new(
        shared,
        claimed,
        recovered.voters,
        claimed.was_vacant && recovered.is_first,
        evidence.clone(),
        sync::Arc::clone(&relays),
    );
    let leadership = Leadership {
        shared: sync::Arc::clone(shared),
        term,
        control: control.handle(),
        evidence,
        relays,
        term_ended,
        tasks: tokio_util::task::TaskTracker::new(),
    };
    let result = leadership.run(decisions_receiver, keeper).await;
    shared.leading.send_replace(None);
    leadership.term_ended.cancel();
    if let Err(cause) = task::spawn_blocking(|| control.stop()).await {
        log::error!(cause:% = cause; "control thread not joined");
    }
    leadership.tasks.close();
    leadership.tasks.wait().await;
    log::info!(term; "leadership ended");
    result
}

/// What a new leader has read from the store.
struct Recovered {
    scheduler: jobs::Scheduler,
    voters: lease_authority::VotersEntry,
    /// Whether the store has nothing of an earlier leader.
    is_first: bool,
}

/// Reads the stored jobs, and builds the scheduler from them, and the list of voters.
async fn recover<P: platform::Platform>(
    shared: &instance::Shared<P>,
    takeover: jobs::Takeover,
) -> Result<Recovered, error::Error> {
    let store = shared.platform.store();
    // The reads are consistent: batches of earlier leaders fail, as they depend on the leader's
    // entry.
    let (segments, outcomes, cancels, voters) = tokio::try_join!(
        store::read_all(store, jobs::SEGMENT_PREFIX, PAGE_ENTRIES),
        store::read_all(store, jobs::OUTCOME_PREFIX, PAGE_ENTRIES),
        store.get(jobs::CANCELS_KEY),
        store.get(cluster_entries::VOTERS_KEY),
    )?;
    let voters = lease_authority::VotersEntry::decode(voters.as_ref());
    let is_first = voters.is_absent()
        && segments.entries.is_empty()
        && outcomes.entries.is_empty()
        && cancels.is_none();
    let settings = shared.settings.jobs.clone();
    // Megabytes take a weak machine longer to decode than its peers wait for a heartbeat.
    let built = task::spawn_blocking(move || {
        let mut recovery = jobs::Recovery::default();
        let entries = segments.entries.into_iter().chain(outcomes.entries);
        for entry in entries.chain(cancels) {
            if let Err(cause) = recovery.add(&entry.key, &entry.value) {
                log::error!(
                    key:% = entry.key,
                    cause;
                    "skipping a stored entry of jobs that cannot be decoded"
                );
            }
        }
        recovery.build(settings, takeover, control_thread::clock())
    });
    let scheduler = built
        .await
        .map_err(|cause| error::Error::new(error::ErrorKind::Thread, cause))?;
    Ok(Recovered {
        scheduler,
        voters,
        is_first,
    })
}

/// State shared by the tasks of a term.
struct Leadership<P: platform::Platform> {
    shared: sync::Arc<instance::Shared<P>>,
    term: model::Term,
    control: control_thread::Handle,
    evidence: lease_authority::Evidence,
    relays: sync::Arc<relays::Relays>,
    /// Cancelled when the term ends.
    term_ended: CancellationToken,
    tasks: tokio_util::task::TaskTracker,
}

impl<P: platform::Platform> Leadership<P> {
    async fn run(
        &self,
        mut decisions_receiver: mpsc::UnboundedReceiver<control_thread::Decisions>,
        keeper: lease_authority::Keeper<P>,
    ) -> Result<(), error::Error> {
        let (batches, batch_receiver) = mpsc::unbounded_channel();
        let (commit_result, mut commits_ended) = oneshot::channel();
        let store = self.shared.platform.store().clone();
        let committer = committer::Committer::new(
            store,
            self.term,
            self.control.clone(),
            self.evidence.clone(),
            sync::Arc::clone(&self.shared.store_regained),
            sync::Arc::clone(&self.shared.store_rejects_batches),
        );
        let commit_task = commit_all(committer, batch_receiver, self.term_ended.clone());
        self.tasks.spawn(async move {
            // The receiver is dropped only after the term has ended.
            let _ = commit_result.send(commit_task.await);
        });
        self.send_manifest();
        self.check_relays();
        self.tasks.spawn(poll_directory(
            sync::Arc::clone(&self.shared),
            self.control.clone(),
            sync::Arc::clone(&self.relays),
            self.term_ended.clone(),
        ));
        self.shared.leading.send_replace(Some(instance::Leading {
            term: self.term,
            control: self.control.clone(),
            relays: sync::Arc::clone(&self.relays),
        }));
        log::info!(term = self.term; "leadership started");
        self.shared.metrics.count("leader.terms");
        let mut manifest = self.shared.manifest.subscribe();
        let mut cluster = self.shared.cluster.subscribe();
        let mut check = tokio::time::interval(TERM_CHECK_INTERVAL);
        let started_at = time::Instant::now();
        let mut authority_kept = std::pin::pin!(keeper.run());
        let mut draining_since = None;
        let result = loop {
            tokio::select! {
                decisions = decisions_receiver.recv() => {
                    let Some(decisions) = decisions else {
                        break Err(leadership_lost("control thread ended"));
                    };
                    if let Err(cause) = self.execute_all(decisions, &batches) {
                        break Err(cause);
                    }
                }
                ended = &mut commits_ended => {
                    break ended.unwrap_or_else(|_| Err(leadership_lost("commit task ended")));
                }
                cause = &mut authority_kept => break Err(cause),
                _ = manifest.changed() => self.send_manifest(),
                _ = cluster.changed() => {
                    if let Err(cause) = self.check_replaced() {
                        break Err(cause);
                    }
                }
                _ = check.tick() => {
                    self.check_relays();
                    if let Err(cause) = self.check_lease_confirmed() {
                        break Err(cause);
                    }
                    if self.must_resign(&mut draining_since) || self.should_yield(started_at) {
                        break Ok(());
                    }
                }
                () = self.shared.stop.cancelled() => break Ok(()),
            }
        };
        drop(batches);
        if result.is_ok() {
            self.resign(commits_ended).await;
        }
        result
    }

    /// Ends the term in order: waits until the decided batches are stored, then removes the
    /// leader's entry.
    async fn resign(&self, commits_ended: oneshot::Receiver<Result<(), error::Error>>) {
        self.shared.leading.send_replace(None);
        match tokio::time::timeout(FINAL_COMMIT_TIMEOUT, commits_ended).await {
            Ok(Ok(Ok(()))) => {}
            Ok(Ok(Err(cause))) => {
                log::warn!(cause:% = cause; "last batches not stored before resigning")
            }
            Ok(Err(_)) | Err(_) => log::warn!("last batches not confirmed before resigning"),
        }
        let txn = store::Txn {
            compares: vec![store::Compare::ModifiedAt {
                key: cluster_entries::LEADER_KEY.to_owned(),
                revision: self.term,
            }],
            puts: Vec::new(),
            deletes: vec![cluster_entries::LEADER_KEY.to_owned()],
        };
        match self.shared.platform.store().commit(txn).await {
            Ok(_) => log::info!(term = self.term; "leadership resigned"),
            Err(cause) => {
                log::warn!(
                    term = self.term,
                    cause:% = cause;
                    "leader entry not removed on resigning"
                )
            }
        }
    }

    fn send_manifest(&self) {
        let manifest = self.shared.manifest.borrow().clone();
        if let Some(active) = manifest {
            self.control
                .send_event(jobs::Event::Manifest((*active.manifest).clone()));
        }
    }

    fn check_relays(&self) {
        let live = self.relays.check(TERM_CHECK_INTERVAL);
        self.control.send_event(jobs::Event::AdviceInstances(live));
    }

    /// Returns whether a draining leader must resign, as no other instance has replaced it.
    ///
    /// It stays the leader until a successor takes over, so that requests do not wait in between.
    fn must_resign(&self, draining_since: &mut Option<time::Instant>) -> bool {
        if !self.shared.is_draining() {
            return false;
        }
        let since = *draining_since.get_or_insert_with(time::Instant::now);
        let is_only_member = self.shared.cluster.borrow().members().count() < 2;
        is_only_member || since.elapsed() >= SUCCESSOR_TIMEOUT
    }

    /// Returns whether the leadership should pass to a much stronger machine.
    fn should_yield(&self, started_at: time::Instant) -> bool {
        if started_at.elapsed() < MIN_TERM_BEFORE_YIELD {
            return false;
        }
        let cluster = self.shared.cluster.borrow();
        cluster.has_preferred_member(&self.shared.member)
    }

    /// Fails if the leader's entry belongs to a later term.
    fn check_replaced(&self) -> Result<(), error::Error> {
        let cluster = self.shared.cluster.borrow();
        match cluster.leader() {
            Some(leader) if leader.term > self.term => Err(leadership_lost(format!(
                "{} leads in term {}",
                leader.member.instance_id, leader.term
            ))),
            _ => Ok(()),
        }
    }

    /// Fails if the store has not confirmed the lease within the leadership timeout.
    fn check_lease_confirmed(&self) -> Result<(), error::Error> {
        let lease_confirmed_at = *instance::lock(&self.shared.lease_confirmed_at);
        let unconfirmed_for = lease_confirmed_at.map_or(time::Duration::MAX, |at| at.elapsed());
        if unconfirmed_for > self.shared.settings.leadership_timeout {
            return Err(leadership_lost(format!(
                "store lease not confirmed for {} ms",
                unconfirmed_for.as_millis()
            )));
        }
        Ok(())
    }

    fn execute_all(
        &self,
        decisions: control_thread::Decisions,
        batches: &mpsc::UnboundedSender<jobs::Batch>,
    ) -> Result<(), error::Error> {
        self.check_lease_confirmed()?;
        let decided_at = decisions.decided_at;
        for action in decisions.actions {
            match action {
                jobs::Action::Commit(batch) => {
                    // The receiver is dropped only when the term ends.
                    let _ = batches.send(batch);
                }
                jobs::Action::StepDown => {
                    return Err(leadership_lost("a worker has seen a later term"));
                }
                action => self.execute(action, decided_at),
            }
        }
        Ok(())
    }

    /// Sends an order through its relay, or executes it here if there is none.
    fn execute(&self, action: jobs::Action, decided_at: time::Instant) {
        let timeout = self.shared.settings.order_timeout;
        let Some(action) = self.relays.send(action, timeout, decided_at) else {
            return;
        };
        let Some(order) = self.relays.begin_own(action, timeout, decided_at) else {
            return;
        };
        let shared = sync::Arc::clone(&self.shared);
        let relays = sync::Arc::clone(&self.relays);
        let term_ended = self.term_ended.clone();
        self.tasks.spawn(async move {
            let id = order.id;
            let executing = orders::execute(&shared, order, relays.own_clock);
            tokio::select! {
                response = executing => relays.complete_own(id, response),
                () = term_ended.cancelled() => {}
            }
        });
    }
}

/// Commits batches concurrently until the channel is closed and drained, or the term ends.
async fn commit_all<S: store::Store>(
    committer: committer::Committer<S>,
    mut batches: mpsc::UnboundedReceiver<jobs::Batch>,
    term_ended: CancellationToken,
) -> Result<(), error::Error> {
    let mut commits = task::JoinSet::new();
    let mut receiver_open = true;
    while receiver_open || !commits.is_empty() {
        tokio::select! {
            batch = batches.recv(), if receiver_open => match batch {
                Some(batch) => {
                    commits.spawn(committer.clone().commit(batch));
                }
                None => receiver_open = false,
            },
            Some(committed) = commits.join_next() => {
                committed.map_err(|cause| error::Error::new(error::ErrorKind::Thread, cause))??;
            }
            () = term_ended.cancelled() => break,
        }
    }
    Ok(())
}

/// Waits until most of the other instances relay, so that a new leader does not connect to every
/// worker itself.
async fn wait_for_relays<P: platform::Platform>(
    shared: &instance::Shared<P>,
    relays: &relays::Relays,
) {
    let others = shared.cluster.borrow().members().count().saturating_sub(1);
    let expected = others * EXPECTED_RELAYS_PERCENT / 100;
    let started = time::Instant::now();
    while relays.channel_count() < expected && started.elapsed() < MAX_RELAY_WAIT {
        tokio::time::sleep(RELAY_CHECK_INTERVAL).await;
    }
    relays.check(TERM_CHECK_INTERVAL);
}

/// Reads the worker directory periodically until the term ends.
async fn poll_directory<P: platform::Platform>(
    shared: sync::Arc<instance::Shared<P>>,
    control: control_thread::Handle,
    relays: sync::Arc<relays::Relays>,
    term_ended: CancellationToken,
) {
    let prefix = shared.platform.keys().workers.clone();
    let mut reader = directory::Reader::new(&shared.settings.jobs, shared.store_regained_at());
    let mut interval = shared.settings.directory_interval;
    tokio::select! {
        () = wait_for_relays(&shared, &relays) => {}
        () = term_ended.cancelled() => return,
    }
    loop {
        let read_at = time::Instant::now();
        let read = store::read_all(shared.platform.store(), &prefix, PAGE_ENTRIES);
        tokio::select! {
            read = tokio::time::timeout(DIRECTORY_READ_TIMEOUT, read) => match read {
                Ok(Ok(page)) => {
                    interval = directory::interval(&shared, page.entries.len());
                    let reports = reader.decode(&shared, &page.entries, read_at);
                    relays.set_workers(&reports);
                    control.send_event(jobs::Event::Directory { reports, read_at });
                }
                Ok(Err(cause)) => log::warn!(
                    cause:% = cause;
                    "worker directory not read; retrying"
                ),
                Err(_) => log::warn!("worker directory not read in time; retrying"),
            },
            () = term_ended.cancelled() => return,
        }
        tokio::select! {
            () = tokio::time::sleep_until((read_at + interval).into()) => {}
            () = shared.store_regained.notified() => {}
            () = term_ended.cancelled() => return,
        }
    }
}

fn leadership_lost(context: impl std::fmt::Display) -> error::Error {
    error::Error::new(error::ErrorKind::LeadershipLost, context)
}
