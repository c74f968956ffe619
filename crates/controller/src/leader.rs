//! A term of office: recovers the state, then carries out what the control thread decides.

use std::sync;
use std::time;

use store::Store as _;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task;
use tokio_util::sync::CancellationToken;

use crate::cell;
use crate::commit;
use crate::control;
use crate::error;
use crate::instance;
use crate::orders;
use crate::platform;

/// Entries read at once.
const PAGE: u32 = 500;
/// How long a leader that stops waits for a successor.
const SUCCESSOR_PATIENCE: time::Duration = time::Duration::from_millis(1_500);
/// How long a leader that resigns waits for its last batch.
const RESIGN_PATIENCE: time::Duration = time::Duration::from_millis(1_500);
/// How long a weak machine leads before it makes room: all machines have started by then.
const WEAK_TERM: time::Duration = time::Duration::from_secs(3);
/// How long a reading of the directory may take, some hundred kilobytes over a slow link.
const DIRECTORY_PATIENCE: time::Duration = time::Duration::from_millis(1_500);
/// Time between looks at what may end the term.
const OFFICE_CHECK: time::Duration = time::Duration::from_millis(100);

/// Leads until the term is over.
///
/// # Errors
///
/// Fails if the state cannot be recovered; says why the term ended otherwise.
pub(crate) async fn lead<P: platform::Platform>(
    shared: &sync::Arc<instance::Shared<P>>,
    term: model::Term,
) -> Result<(), error::Error> {
    let scheduler = recover(shared, term).await?;
    let (actions, decided) = mpsc::unbounded_channel();
    let control = control::Control::start(scheduler, actions)?;
    let office = Office {
        shared: sync::Arc::clone(shared),
        term,
        control: control.handle(),
        over: CancellationToken::new(),
        orders: tokio_util::task::TaskTracker::new(),
    };
    let ended = office.run(decided).await;
    shared.leading.send_replace(None);
    office.over.cancel();
    if let Err(cause) = task::spawn_blocking(|| control.stop()).await {
        log::error!(cause:% = cause; "control thread not joined");
    }
    office.orders.close();
    office.orders.wait().await;
    log::info!(term; "leadership given up");
    ended
}

/// Reads what the store keeps and builds the scheduler.
async fn recover<P: platform::Platform>(
    shared: &instance::Shared<P>,
    term: model::Term,
) -> Result<jobs::Scheduler, error::Error> {
    let store = shared.platform.store();
    // Nothing changes meanwhile: the batches of earlier leaders depend on their entry.
    let (segments, outcomes) = tokio::try_join!(
        read_all(store, jobs::SEGMENT_PREFIX),
        read_all(store, jobs::OUTCOME_PREFIX),
    )?;
    let mut recovery = jobs::Recovery::default();
    for entry in segments.into_iter().chain(outcomes) {
        if let Err(cause) = recovery.add(&entry.key, &entry.value) {
            log::error!(key:% = entry.key, cause; "stored jobs cannot be read");
        }
    }
    let settings = shared.settings.jobs.clone();
    let office = shared.settings.office;
    Ok(recovery.build(settings, term, office, control::clock()))
}

/// Reads every entry below a prefix.
async fn read_all<S: store::Store>(
    store: &S,
    prefix: &str,
) -> Result<Vec<store::Entry>, error::Error> {
    let mut entries: Vec<store::Entry> = Vec::new();
    loop {
        let after = entries.last().map(|entry| entry.key.clone());
        let page = store.range(prefix, PAGE, after.as_deref()).await?;
        let more = page.more && !page.entries.is_empty();
        entries.extend(page.entries);
        if !more {
            return Ok(entries);
        }
    }
}

/// What the tasks of a term share.
struct Office<P: platform::Platform> {
    shared: sync::Arc<instance::Shared<P>>,
    term: model::Term,
    control: control::Handle,
    /// Cancelled when the term is over.
    over: CancellationToken,
    orders: tokio_util::task::TaskTracker,
}

impl<P: platform::Platform> Office<P> {
    async fn run(
        &self,
        mut decided: mpsc::UnboundedReceiver<Vec<jobs::Action>>,
    ) -> Result<(), error::Error> {
        let (batches, to_commit) = mpsc::unbounded_channel();
        let (commits_ended, mut commits) = oneshot::channel();
        let store = self.shared.platform.store().clone();
        let committer = commit::Committer::new(
            store,
            self.term,
            self.control.clone(),
            sync::Arc::clone(&self.shared.batches_fail),
        );
        let committing = commit_all(committer, to_commit, self.over.clone());
        self.orders.spawn(async move {
            // The receiver is gone only once the term is over.
            let _ = commits_ended.send(committing.await);
        });
        self.tell_manifest();
        self.tell_advisors();
        self.orders.spawn(read_directory(
            sync::Arc::clone(&self.shared),
            self.control.clone(),
            self.over.clone(),
        ));
        self.shared.leading.send_replace(Some(instance::Leading {
            term: self.term,
            control: self.control.clone(),
        }));
        log::info!(term = self.term; "leadership taken up");
        self.shared.metrics.count("leader.terms");
        let mut manifest = self.shared.manifest.subscribe();
        let mut cell = self.shared.cell.subscribe();
        let mut check = tokio::time::interval(OFFICE_CHECK);
        let taken_up_at = time::Instant::now();
        let mut leaving_since = None;
        let ended = loop {
            tokio::select! {
                actions = decided.recv() => {
                    let Some(actions) = actions else {
                        break Err(deposed("control thread ended"));
                    };
                    if let Err(cause) = self.carry_out_all(actions, &batches) {
                        break Err(cause);
                    }
                }
                ended = &mut commits => {
                    break ended.unwrap_or_else(|_| Err(deposed("commits ended")));
                }
                _ = manifest.changed() => self.tell_manifest(),
                _ = cell.changed() => {
                    if let Err(cause) = self.check_cell() {
                        break Err(cause);
                    }
                }
                _ = check.tick() => {
                    self.tell_advisors();
                    if let Err(cause) = self.check_office() {
                        break Err(cause);
                    }
                    if self.must_leave(&mut leaving_since) || self.has_stronger(taken_up_at) {
                        break Ok(());
                    }
                }
                () = self.shared.stop.cancelled() => break Ok(()),
            }
        };
        drop(batches);
        if ended.is_ok() {
            self.resign(commits).await;
        }
        ended
    }

    /// Ends the term in good order: what is decided is stored, then the entry is removed.
    async fn resign(&self, commits: oneshot::Receiver<Result<(), error::Error>>) {
        self.shared.leading.send_replace(None);
        match tokio::time::timeout(RESIGN_PATIENCE, commits).await {
            Ok(Ok(Ok(()))) => {}
            Ok(Ok(Err(cause))) => log::warn!(cause:% = cause; "last batch not stored"),
            Ok(Err(_)) | Err(_) => log::warn!("last batch not confirmed"),
        }
        let txn = store::Txn {
            compares: vec![store::Compare::ModifiedAt {
                key: cell::LEADER.to_owned(),
                revision: self.term,
            }],
            puts: Vec::new(),
            deletes: vec![cell::LEADER.to_owned()],
        };
        match self.shared.platform.store().commit(txn).await {
            Ok(_) => log::info!(term = self.term; "leadership resigned"),
            Err(cause) => log::warn!(term = self.term, cause:% = cause; "resignation not stored"),
        }
    }

    fn tell_manifest(&self) {
        let manifest = self.shared.manifest.borrow().clone();
        if let Some(in_force) = manifest {
            self.control
                .tell(jobs::Event::Manifest((*in_force.manifest).clone()));
        }
    }

    fn tell_advisors(&self) {
        let mut live = instance::lock(&self.shared.followers).live(time::Instant::now());
        live.push(sync::Arc::clone(&self.shared.member.instance_id));
        self.control.tell(jobs::Event::Advisors(live));
    }

    /// Returns whether a leader that stops must resign, as nobody has replaced it.
    ///
    /// It leads on until its successor does, so that nothing waits in between.
    fn must_leave(&self, leaving_since: &mut Option<time::Instant>) -> bool {
        if !self.shared.is_draining() {
            return false;
        }
        let since = *leaving_since.get_or_insert_with(time::Instant::now);
        let is_alone = self.shared.cell.borrow().members().count() < 2;
        is_alone || since.elapsed() >= SUCCESSOR_PATIENCE
    }

    /// Returns whether a machine that is far stronger should lead.
    fn has_stronger(&self, taken_up_at: time::Instant) -> bool {
        if taken_up_at.elapsed() < WEAK_TERM {
            return false;
        }
        let cell = self.shared.cell.borrow();
        cell.has_preferred_member(&self.shared.member)
    }

    /// Ends the term if the store names another leader.
    fn check_cell(&self) -> Result<(), error::Error> {
        let cell = self.shared.cell.borrow();
        match cell.leader() {
            Some(leader) if leader.term > self.term => Err(deposed(format!(
                "{} leads in term {}",
                leader.member.instance_id, leader.term
            ))),
            _ => Ok(()),
        }
    }

    /// Ends the term if the store has not confirmed it for too long.
    fn check_office(&self) -> Result<(), error::Error> {
        let confirmed_at = *instance::lock(&self.shared.confirmed_at);
        let age = confirmed_at.map_or(time::Duration::MAX, |at| at.elapsed());
        if age > self.shared.settings.office {
            return Err(deposed(format!("not confirmed for {} ms", age.as_millis())));
        }
        Ok(())
    }

    fn carry_out_all(
        &self,
        actions: Vec<jobs::Action>,
        batches: &mpsc::UnboundedSender<jobs::Batch>,
    ) -> Result<(), error::Error> {
        self.check_office()?;
        for action in actions {
            match action {
                jobs::Action::Commit(batch) => {
                    // The receiver ends only with the term.
                    let _ = batches.send(batch);
                }
                jobs::Action::StepDown => return Err(deposed("a worker has seen a later term")),
                other => self.carry_out(other),
            }
        }
        Ok(())
    }

    fn carry_out(&self, action: jobs::Action) {
        let shared = sync::Arc::clone(&self.shared);
        let control = self.control.clone();
        let over = self.over.clone();
        let timeout = shared.settings.order_timeout;
        self.orders.spawn(async move {
            let event = tokio::select! {
                event = orders::perform(&shared, action, timeout) => event,
                () = over.cancelled() => None,
            };
            if let Some(event) = event {
                control.tell(event);
            }
        });
    }
}

/// Commits batches until there are no more or the term is over.
async fn commit_all<S: store::Store>(
    committer: commit::Committer<S>,
    mut batches: mpsc::UnboundedReceiver<jobs::Batch>,
    over: CancellationToken,
) -> Result<(), error::Error> {
    let mut under_way = task::JoinSet::new();
    let mut is_open = true;
    while is_open || !under_way.is_empty() {
        tokio::select! {
            batch = batches.recv(), if is_open => match batch {
                Some(batch) => {
                    under_way.spawn(committer.clone().commit(batch));
                }
                None => is_open = false,
            },
            Some(committed) = under_way.join_next() => {
                committed.map_err(|cause| error::Error::new(error::ErrorKind::Thread, cause))??;
            }
            () = over.cancelled() => break,
        }
    }
    Ok(())
}

/// Reads the directory until the term is over.
async fn read_directory<P: platform::Platform>(
    shared: sync::Arc<instance::Shared<P>>,
    control: control::Handle,
    over: CancellationToken,
) {
    let prefix = shared.platform.keys().workers.clone();
    loop {
        let reading = read_all(shared.platform.store(), &prefix);
        tokio::select! {
            read = tokio::time::timeout(DIRECTORY_PATIENCE, reading) => match read {
                Ok(Ok(entries)) => {
                    control.tell(jobs::Event::Directory(decode_all(&shared, &entries)));
                }
                Ok(Err(cause)) => log::warn!(cause:% = cause; "directory not read"),
                Err(_) => log::warn!("directory not read in time"),
            },
            () = over.cancelled() => return,
        }
        tokio::select! {
            () = tokio::time::sleep(shared.settings.directory_interval) => {}
            () = over.cancelled() => return,
        }
    }
}

fn decode_all<P: platform::Platform>(
    shared: &instance::Shared<P>,
    entries: &[store::Entry],
) -> Vec<jobs::WorkerReport> {
    let decoded = entries.iter().filter_map(|entry| {
        let report = shared.platform.decode_worker(entry);
        match report {
            Ok(report) => Some(report),
            Err(cause) => {
                shared.metrics.count("directory.unreadable");
                log::debug!(key:% = entry.key, cause; "worker entry cannot be read");
                None
            }
        }
    });
    decoded.collect()
}

fn deposed(context: impl std::fmt::Display) -> error::Error {
    error::Error::new(error::ErrorKind::Deposed, context)
}
