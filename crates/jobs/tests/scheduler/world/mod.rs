//! A world in virtual time for the scheduler: workers, a store and a recommendation service whose
//! answers are lost or late, and leaders that die.
//!
//! Whatever happens, the world checks what must always hold when a worker carries out a start.

mod worker;

use std::collections;
use std::sync;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;

pub(crate) use worker::FakeWorker;

/// Time of a call to a worker or to the store, one way, in milliseconds.
const WAY_MS: u64 = 5;
/// How long a serving run may be harmed by filling ones, in milliseconds.
const HARM_MS: u64 = 4_000;
/// Time between looks for an end while a call to hold waits, in milliseconds.
const HOLD_LOOK_MS: u64 = 20;
/// How long an order is waited for, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 400;
/// Time of day at the start, in milliseconds since 1970.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Faults, as shares of calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Orders that are carried out and not answered.
    pub(crate) lost_answers: f64,
    /// Orders that are not answered and carried out two to twelve seconds later.
    pub(crate) late_orders: f64,
    /// Batches that are applied and confirmed only when they are sent again.
    pub(crate) lost_commits: f64,
}

/// What is on its way.
enum Event {
    Start(jobs::StartOrder, bool),
    Stop(jobs::StopOrder, bool),
    Pace(jobs::PaceOrder),
    Hold(jobs::HoldOrder),
    /// A call to hold is looked at again; it is answered at this time at the latest.
    HoldEnds(jobs::HoldOrder, u64),
    Commit(model::Term, jobs::Batch, bool),
    /// Comes to the leader of this term, if it still leads.
    Tell(model::Term, jobs::Event),
    Tick(model::Term),
}

pub(crate) struct World {
    base: time::Instant,
    pub(crate) now_ms: u64,
    rng: rand::rngs::StdRng,
    pub(crate) faults: Faults,
    events: collections::BTreeMap<(u64, u64), Event>,
    next_event: u64,
    scheduler: Option<jobs::Scheduler>,
    pub(crate) term: model::Term,
    pub(crate) store: collections::BTreeMap<String, Vec<u8>>,
    pub(crate) workers: Vec<FakeWorker>,
    manifest: jobs::Manifest,
    pub(crate) replies: collections::HashMap<jobs::Token, model::JobReply>,
    next_token: jobs::Token,
    pub(crate) accepted: collections::HashMap<model::JobId, model::Job>,
    /// Ends `done` that a worker was allowed to forget.
    pub(crate) noted_done: collections::HashSet<model::TaskKey>,
    /// Ends `failed` that a worker was allowed to forget.
    pub(crate) noted_failures: collections::HashMap<model::TaskKey, u32>,
    /// Tasks that a worker has listed as done.
    pub(crate) done: collections::HashSet<model::TaskKey>,
    /// Tasks that fail on every run.
    pub(crate) hopeless: collections::HashSet<model::JobId>,
    /// When the first run of a job began, in milliseconds.
    pub(crate) started_at_ms: collections::HashMap<model::JobId, u64>,
    /// When a request was answered, in milliseconds.
    pub(crate) answered_at_ms: collections::HashMap<jobs::Token, u64>,
    /// Time that the store takes for a batch, in milliseconds.
    pub(crate) store_ms: u64,
    /// Whether the store refuses every batch.
    pub(crate) store_refuses: bool,
    /// Calls to the recommendation service under way, and the most there were.
    advice_under_way: usize,
    pub(crate) most_advice_under_way: usize,
    /// Calls to the recommendation service so far.
    pub(crate) advice_calls: usize,
    /// Time that the service takes for a call, in milliseconds; `None` if the queue's terms say.
    advice_ms: Option<u64>,
    /// Instances through which the service is asked.
    advisors: usize,
    /// When the calls of each instance are done; the service takes them in turn.
    advisors_busy_until_ms: collections::HashMap<model::InstanceId, u64>,
    /// Calls and the time that the service has spent on them, in milliseconds, by queue.
    pub(crate) advice_load: collections::BTreeMap<model::QueueName, (usize, u64)>,
    /// Share of workers allowed for a queue, where it is not `allowed_share`.
    pub(crate) allowed_shares: collections::HashMap<model::QueueName, f64>,
    /// What the first member of each run of a gang resumed from.
    gang_checkpoints:
        collections::HashMap<(model::StepKey, model::RunNumber), Option<sync::Arc<str>>>,
    /// Run times of a step's tasks that differ from the estimate, in milliseconds.
    pub(crate) run_times_ms: collections::HashMap<(model::JobId, u16), u64>,
    /// When the last task of a job was listed as done, in milliseconds.
    pub(crate) ended_at_ms: collections::HashMap<model::JobId, u64>,
    pub(crate) max_failures: u32,
    /// Share of workers that the recommendation service allows; `None` if there is no service.
    pub(crate) allowed_share: Option<f64>,
}

impl World {
    pub(crate) fn new(seed: u64, worker_count: usize, allowed_share: Option<f64>) -> Self {
        let mut world = Self {
            base: time::Instant::now(),
            now_ms: 0,
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            faults: Faults::default(),
            events: collections::BTreeMap::new(),
            next_event: 0,
            scheduler: None,
            term: 0,
            store: collections::BTreeMap::new(),
            workers: (0..worker_count).map(FakeWorker::new).collect(),
            manifest: manifest(allowed_share),
            replies: collections::HashMap::new(),
            next_token: 0,
            accepted: collections::HashMap::new(),
            noted_done: collections::HashSet::new(),
            noted_failures: collections::HashMap::new(),
            done: collections::HashSet::new(),
            hopeless: collections::HashSet::new(),
            started_at_ms: collections::HashMap::new(),
            answered_at_ms: collections::HashMap::new(),
            store_ms: WAY_MS,
            store_refuses: false,
            advice_under_way: 0,
            most_advice_under_way: 0,
            advice_calls: 0,
            advice_ms: Some(20),
            advisors: 2,
            advisors_busy_until_ms: collections::HashMap::new(),
            advice_load: collections::BTreeMap::new(),
            allowed_shares: collections::HashMap::new(),
            gang_checkpoints: collections::HashMap::new(),
            run_times_ms: collections::HashMap::new(),
            ended_at_ms: collections::HashMap::new(),
            max_failures: 3,
            allowed_share,
        };
        world.elect();
        world
    }

    fn clock(&self) -> jobs::Clock {
        jobs::Clock {
            now: self.base + time::Duration::from_millis(self.now_ms),
            wall_ms: EPOCH_MS + self.now_ms,
        }
    }

    /// Lets the recommendation service take the time that the queues' terms say, through so many
    /// instances, and elects anew.
    pub(crate) fn slow_advice(&mut self, base_ms: u64, advisors: usize) {
        let mut manifest = self.manifest.clone();
        for queue in manifest.queues.values_mut() {
            if let Some(terms) = &mut sync::Arc::make_mut(queue).advice {
                terms.base_time = time::Duration::from_millis(base_ms);
            }
        }
        self.use_manifest(manifest, advisors);
    }

    /// Puts another manifest in force, whose terms the recommendation service keeps to, and elects
    /// anew.
    pub(crate) fn use_manifest(&mut self, manifest: jobs::Manifest, advisors: usize) {
        self.manifest = manifest;
        self.advice_ms = None;
        self.advisors = advisors;
        self.elect();
    }

    /// Lets the leader die; nobody leads until the next election.
    pub(crate) fn kill_leader(&mut self) {
        self.scheduler = None;
    }

    /// Lets the leader end its term in good order.
    pub(crate) fn retire_leader(&mut self) {
        let actions = self.scheduler.take().map(|mut one| one.abandon());
        for action in actions.into_iter().flatten() {
            self.carry_out(self.term, action);
        }
    }

    /// Elects a leader, which recovers from the store.
    pub(crate) fn elect(&mut self) {
        self.term += 1;
        let mut recovery = jobs::Recovery::default();
        for (key, value) in &self.store {
            recovery
                .add(key, value)
                .expect("the store holds what was written");
        }
        let settings = jobs::Settings::default();
        let office = time::Duration::from_secs(1);
        let scheduler = recovery.build(settings, self.term, office, self.clock());
        self.scheduler = Some(scheduler);
        let term = self.term;
        let manifest = self.manifest.clone();
        self.tell(term, jobs::Event::Manifest(manifest));
        let advisors = (0..self.advisors).map(|number| format!("advisor-{number}").into());
        let advisors = advisors.collect();
        self.tell(term, jobs::Event::Advisors(advisors));
        self.push(50, Event::Tick(term));
    }

    fn push(&mut self, delay_ms: u64, event: Event) {
        self.next_event += 1;
        let key = (self.now_ms + delay_ms, self.next_event);
        self.events.insert(key, event);
    }

    /// Gives an event to the leader of `term`, and carries out what it decides.
    fn tell(&mut self, term: model::Term, event: jobs::Event) {
        if matches!(event, jobs::Event::Advice { .. }) {
            self.advice_under_way -= 1;
        }
        if term != self.term {
            return;
        }
        let clock = self.clock();
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        scheduler.handle(event, clock);
        let actions = scheduler.finish(clock);
        for action in actions {
            self.carry_out(term, action);
        }
    }

    fn carry_out(&mut self, term: model::Term, action: jobs::Action) {
        match action {
            jobs::Action::Reply(token, reply) => {
                self.replies.insert(token, reply);
                self.answered_at_ms.insert(token, self.now_ms);
            }
            jobs::Action::Start(order) => {
                let (delay_ms, answered) = self.fate();
                if !answered {
                    let event = jobs::Event::Start {
                        life: order.life.clone(),
                        run: order.run,
                        outcome: jobs::StartOutcome::NoAnswer,
                    };
                    self.push(ORDER_TIMEOUT_MS, Event::Tell(term, event));
                }
                self.push(delay_ms, Event::Start(order, answered));
            }
            jobs::Action::Stop(order) => {
                let (delay_ms, answered) = self.fate();
                if !answered {
                    let event = jobs::Event::Stop {
                        life: order.life.clone(),
                        run: order.run,
                        outcome: jobs::StopOutcome::NoAnswer,
                    };
                    self.push(ORDER_TIMEOUT_MS, Event::Tell(term, event));
                }
                self.push(delay_ms, Event::Stop(order, answered));
            }
            jobs::Action::Pace(order) => self.push(WAY_MS, Event::Pace(order)),
            jobs::Action::Hold(order) => self.push(WAY_MS, Event::Hold(order)),
            jobs::Action::Advise(call) => {
                self.advise(term, call);
            }
            jobs::Action::Commit(batch) => {
                let lost = self.rng.random_bool(self.faults.lost_commits);
                let delay_ms = self.store_ms + self.rng.random_range(0..20);
                self.push(delay_ms, Event::Commit(term, batch, lost));
            }
            jobs::Action::StepDown => self.kill_leader(),
        }
    }

    fn advise(&mut self, term: model::Term, call: jobs::AdviceCall) {
        let step = call.request.step;
        let queue = self.accepted[&step.job_id].queue.clone();
        let terms = self.manifest.queues[&queue].advice;
        let terms = terms.expect("only queues with advice are asked about");
        let named = u32::try_from(call.request.worker_ids.len()).expect("few");
        let duration = match self.advice_ms {
            Some(ms) => time::Duration::from_millis(ms),
            None => terms.base_time + terms.time_per_worker * named,
        };
        let duration_ms = duration.as_millis() as u64;
        let busy = self.advisors_busy_until_ms.entry(call.instance_id.clone());
        let busy_until_ms = busy.or_default();
        *busy_until_ms = (*busy_until_ms).max(self.now_ms) + duration_ms;
        let done_ms = *busy_until_ms;
        let valid_until_ms = done_ms + terms.validity.as_millis() as u64;
        let named = call.request.worker_ids.into_iter();
        let allowed = named.filter(|worker_id| self.is_allowed(&queue, step, worker_id));
        let tickets = allowed.map(|worker_id| model::Ticket {
            worker_id,
            token: valid_until_ms.to_string(),
        });
        let reply = model::AdviceReply {
            tickets: tickets.collect(),
            validity_ms: None,
        };
        let event = jobs::Event::Advice {
            call: call.call,
            outcome: Ok(reply),
        };
        self.advice_under_way += 1;
        self.most_advice_under_way = self.most_advice_under_way.max(self.advice_under_way);
        self.advice_calls += 1;
        let load = self.advice_load.entry(queue.clone()).or_default();
        *load = (load.0 + 1, load.1 + duration_ms);
        self.push(done_ms - self.now_ms, Event::Tell(term, event));
    }

    fn is_allowed(
        &self,
        queue: &model::QueueName,
        step: model::StepKey,
        worker_id: &model::WorkerId,
    ) -> bool {
        let number: u64 = worker_id
            .trim_start_matches('w')
            .parse()
            .unwrap_or_default();
        if let Some(share) = self.allowed_shares.get(queue) {
            return scatter(step, number) < *share;
        }
        // Each step may use as many workers as any other, so that none can never run.
        let share = self.allowed_share.unwrap_or(1.0);
        let place = (7 * number + 3 * step.job_id + u64::from(step.step)) % 10;
        (place as f64) < share * 10.0
    }

    /// Returns when an order is carried out, and whether it is answered.
    fn fate(&mut self) -> (u64, bool) {
        if self.rng.random_bool(self.faults.late_orders) {
            return (self.rng.random_range(2_000..12_000), false);
        }
        (WAY_MS, !self.rng.random_bool(self.faults.lost_answers))
    }

    /// Runs for a while.
    pub(crate) fn run_ms(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while let Some(entry) = self.events.first_entry() {
            let at_ms = entry.key().0;
            if at_ms > end_ms {
                break;
            }
            let event = entry.remove();
            self.now_ms = self.now_ms.max(at_ms);
            self.handle(event);
        }
        self.now_ms = end_ms;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tell(term, event) => self.tell(term, event),
            Event::Tick(term) => {
                self.check_harm();
                if term == self.term && self.scheduler.is_some() {
                    let reports = self.workers.iter().filter(|one| one.is_up);
                    let reports = reports.map(FakeWorker::report).collect();
                    self.tell(term, jobs::Event::Directory(reports));
                    self.tell(term, jobs::Event::Tick);
                    self.push(50, Event::Tick(term));
                }
            }
            Event::Start(order, answered) => self.start(order, answered),
            Event::Stop(order, answered) => self.stop(order, answered),
            Event::Pace(order) => self.pace(order),
            Event::Hold(order) => self.hold(order),
            Event::HoldEnds(order, until_ms) => self.hold_ends(order, until_ms),
            Event::Commit(term, batch, lost) => {
                if term != self.term {
                    return;
                }
                if self.store_refuses {
                    self.tell(term, jobs::Event::StoreReachable(false));
                    self.tell(term, jobs::Event::Rejected(batch.id));
                    return;
                }
                self.tell(term, jobs::Event::StoreReachable(true));
                for key in &batch.deletes {
                    self.store.remove(key);
                }
                self.store.insert(batch.segment_key, batch.segment);
                if let Some((key, value)) = batch.outcomes {
                    self.store.insert(key, value);
                }
                let delay_ms = if lost { 300 } else { WAY_MS };
                self.push(
                    delay_ms,
                    Event::Tell(term, jobs::Event::Committed(batch.id)),
                );
            }
        }
    }

    /// Checks that no filling run harms a serving one for long.
    fn check_harm(&mut self) {
        for worker in &mut self.workers {
            worker.expire(self.now_ms);
            let harmed_ms = worker.harmed_ms(self.now_ms);
            assert!(
                harmed_ms < HARM_MS,
                "a serving run was harmed for {harmed_ms} ms"
            );
        }
    }

    fn worker_index(&self, life: &model::WorkerLife) -> Option<usize> {
        let mut workers = self.workers.iter();
        workers.position(|one| one.is_up && !one.is_cut && one.life == *life)
    }

    fn start(&mut self, order: jobs::StartOrder, answered: bool) {
        let now_ms = self.now_ms;
        let Some(index) = self.worker_index(&order.life) else {
            if answered {
                self.answer_start(&order, jobs::StartOutcome::NoAnswer);
            }
            return;
        };
        self.workers[index].expire(now_ms);
        let outcome = if is_expired(&order, now_ms) {
            jobs::StartOutcome::Rejected(jobs::StartRejection::Ticket)
        } else {
            self.workers[index].admit(&order, now_ms)
        };
        if outcome == jobs::StartOutcome::Started && !self.workers[index].has(order.run) {
            self.check_start(index, &order);
            let job_id = order.run.task.job_id;
            self.started_at_ms.entry(job_id).or_insert(now_ms);
            let fails = self.hopeless.contains(&order.run.task.job_id);
            let job = &self.accepted[&order.run.task.job_id];
            let step_index = order.run.task.step;
            let step = &job.steps[usize::from(step_index)];
            let run_ms = self.run_times_ms.get(&(job_id, step_index)).copied();
            let run_ms = run_ms.unwrap_or(u64::from(step.estimated_ms));
            self.workers[index].begin(&order, step, run_ms, fails, now_ms);
        }
        if answered {
            self.answer_start(&order, outcome);
        }
    }

    fn answer_start(&mut self, order: &jobs::StartOrder, outcome: jobs::StartOutcome) {
        let event = jobs::Event::Start {
            life: order.life.clone(),
            run: order.run,
            outcome,
        };
        self.push(WAY_MS, Event::Tell(order.term, event));
    }

    /// Checks what must hold whenever a worker begins a run.
    fn check_start(&mut self, index: usize, order: &jobs::StartOrder) {
        let task = order.run.task;
        let job = self
            .accepted
            .get(&task.job_id)
            .unwrap_or_else(|| panic!("{task:?} belongs to no job that was asked for"));
        let step = &job.steps[usize::from(task.step)];
        let free = self.workers[index].free();
        let mut demand = step.demand;
        if step.fills_idle {
            demand.processors_milli = 0;
        }
        assert!(demand.fits_in(&free), "{task:?} does not fit in {free:?}");
        let now_ms = self.now_ms;
        for (other, worker) in self.workers.iter_mut().enumerate() {
            worker.expire(now_ms);
            let twin = worker.runs_of(task);
            assert!(
                !worker.is_up || twin.is_none(),
                "{task:?} begins on {index} and runs on {other}: {twin:?}"
            );
        }
        assert!(!self.noted_done.contains(&task), "{task:?} is done");
        let failures = self.noted_failures.get(&task).copied().unwrap_or_default();
        assert!(
            failures < self.max_failures,
            "{task:?} has failed too often"
        );
        for before in &step.after {
            for member in 0..job.steps[usize::from(*before)].task_count {
                let before = model::TaskKey {
                    step: *before,
                    index: member,
                    ..task
                };
                assert!(self.done.contains(&before), "{task:?} before {before:?}");
            }
        }
        self.check_checkpoint(order);
        let step = &self.accepted[&task.job_id].steps[usize::from(task.step)];
        if let Some(most) = step.max_per_worker {
            let here = self.workers[index].count_of(task.step_key());
            assert!(here < most, "{task:?} is one too many on a worker");
        }
    }

    /// Checks that a run resumes from progress of its own, the members of a gang from the same.
    fn check_checkpoint(&mut self, order: &jobs::StartOrder) {
        let task = order.run.task;
        let step = &self.accepted[&task.job_id].steps[usize::from(task.step)];
        if let Some(checkpoint) = &order.checkpoint {
            assert!(step.checkpointing, "{task:?} saves nothing");
            let mut parts = checkpoint.split('-').skip(1);
            let (job, index) = (parts.next(), parts.next());
            assert_eq!(job, Some(task.job_id.to_string().as_str()), "{task:?}");
            let is_own = index == Some(task.index.to_string().as_str());
            assert!(is_own || step.gang, "{task:?} resumes from {checkpoint}");
        }
        if step.gang {
            let run = (task.step_key(), order.run.run);
            let first = self.gang_checkpoints.entry(run);
            let first = first.or_insert_with(|| order.checkpoint.clone());
            assert_eq!(*first, order.checkpoint, "{task:?} and another member");
        }
    }

    fn stop(&mut self, order: jobs::StopOrder, answered: bool) {
        let now_ms = self.now_ms;
        let outcome = match self.worker_index(&order.life) {
            Some(index) => self.workers[index].stop(&order, now_ms),
            None => jobs::StopOutcome::NoAnswer,
        };
        if answered {
            let event = jobs::Event::Stop {
                life: order.life,
                run: order.run,
                outcome,
            };
            self.push(WAY_MS, Event::Tell(order.term, event));
        }
    }

    fn pace(&mut self, order: jobs::PaceOrder) {
        let outcome = match self.worker_index(&order.life) {
            Some(index) => self.workers[index].pace(&order),
            None => jobs::PaceOutcome::Failed,
        };
        let event = jobs::Event::Pace {
            life: order.life,
            run: order.run,
            percent: order.percent,
            outcome,
        };
        self.push(WAY_MS, Event::Tell(order.term, event));
    }

    fn hold(&mut self, order: jobs::HoldOrder) {
        let now_ms = self.now_ms;
        if let Some(index) = self.worker_index(&order.life) {
            if !self.workers[index].begin_hold(&order, now_ms) {
                let event = jobs::Event::Hold {
                    life: order.life,
                    outcome: jobs::HoldOutcome::Fenced,
                };
                self.push(WAY_MS, Event::Tell(order.term, event));
                return;
            }
            self.note_forgotten(index, order.forget_up_to);
            let until_ms = now_ms + order.wait.as_millis() as u64;
            self.push(0, Event::HoldEnds(order, until_ms));
            return;
        }
        self.hold_unanswered(order);
    }

    fn hold_unanswered(&mut self, order: jobs::HoldOrder) {
        let delay_ms = order.wait.as_millis() as u64 + 600;
        let event = jobs::Event::Hold {
            life: order.life,
            outcome: jobs::HoldOutcome::NoAnswer,
        };
        self.push(delay_ms, Event::Tell(order.term, event));
    }

    fn hold_ends(&mut self, order: jobs::HoldOrder, until_ms: u64) {
        let now_ms = self.now_ms;
        let Some(index) = self.worker_index(&order.life) else {
            self.hold_unanswered(order);
            return;
        };
        self.workers[index].expire(now_ms);
        if !self.workers[index].has_ended() && now_ms < until_ms {
            let end_ms = self.workers[index].next_end_ms(now_ms);
            let next_ms = end_ms.unwrap_or(u64::MAX).clamp(now_ms + 1, until_ms);
            let delay_ms = (next_ms - now_ms).min(HOLD_LOOK_MS);
            self.push(delay_ms, Event::HoldEnds(order, until_ms));
            return;
        }
        let listing = self.workers[index].listing(now_ms);
        for row in &listing.ended {
            if row.how == jobs::RunEnd::Done {
                self.mark_done(row.run.task);
                self.ended_at_ms.insert(row.run.task.job_id, now_ms);
            }
        }
        let event = jobs::Event::Hold {
            life: order.life,
            outcome: jobs::HoldOutcome::Listing(listing),
        };
        self.push(WAY_MS, Event::Tell(order.term, event));
    }

    /// Notes a task as done; one end of a gang stands for all.
    fn mark_done(&mut self, task: model::TaskKey) {
        let step = &self.accepted[&task.job_id].steps[usize::from(task.step)];
        let members = if step.gang {
            0..step.task_count
        } else {
            task.index..task.index + 1
        };
        self.done
            .extend(members.map(|index| model::TaskKey { index, ..task }));
    }

    fn note_forgotten(&mut self, index: usize, up_to: u64) {
        for row in self.workers[index].forget(up_to) {
            match row.how {
                jobs::RunEnd::Done => {
                    self.noted_done.insert(row.run.task);
                }
                jobs::RunEnd::Failed => {
                    *self.noted_failures.entry(row.run.task).or_default() += 1;
                }
                _ => {}
            }
        }
    }

    /// Asks the leader; returns the token of the answer.
    pub(crate) fn ask(&mut self, request: model::JobRequest) -> jobs::Token {
        self.next_token += 1;
        let token = self.next_token;
        if let model::JobRequest::Submit(job) = &request {
            self.accepted.insert(job.id, (**job).clone());
        }
        let event = jobs::Event::Request {
            token,
            manifest_version: 1,
            request,
        };
        self.tell(self.term, event);
        token
    }

    pub(crate) fn submit(&mut self, job: model::Job) -> jobs::Token {
        self.ask(model::JobRequest::Submit(Box::new(job)))
    }

    pub(crate) fn cancel(&mut self, job_id: model::JobId) -> jobs::Token {
        self.ask(model::JobRequest::Cancel { job_id })
    }

    /// Tells the leader that the store cannot be reached, or can again.
    pub(crate) fn tell_store(&mut self, reachable: bool) {
        self.tell(self.term, jobs::Event::StoreReachable(reachable));
    }

    pub(crate) fn status(&mut self, job_id: model::JobId) -> Option<model::JobReply> {
        let token = self.ask(model::JobRequest::Status { job_id });
        self.replies.get(&token).cloned()
    }

    pub(crate) fn random(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below)
    }
}

/// Returns a figure from 0 to 1 that a step and a worker have in common.
fn scatter(step: model::StepKey, worker: u64) -> f64 {
    let seed = step.job_id.wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ u64::from(step.step);
    let mut mixed = seed ^ (worker + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) % 1_000_000) as f64 / 1e6
}

/// Returns whether the ticket of an order is no longer valid; it holds the end of its validity.
fn is_expired(order: &jobs::StartOrder, now_ms: u64) -> bool {
    let ticket = order.ticket.as_deref();
    ticket.is_some_and(|ticket| {
        ticket
            .parse::<u64>()
            .is_ok_and(|until_ms| until_ms < now_ms)
    })
}

fn manifest(allowed_share: Option<f64>) -> jobs::Manifest {
    let queue = |name: &str, priority| jobs::Queue {
        name: name.into(),
        host: "h".to_owned(),
        path_prefix: format!("/{name}/"),
        pool: "pool".into(),
        priority,
        max_failures: 3,
        stretch: 2.0,
        target_latency: time::Duration::from_millis(400),
        request_timeout: time::Duration::from_secs(3),
        advice: allowed_share.map(|_| jobs::AdviceTerms {
            base_time: time::Duration::from_millis(10),
            time_per_worker: time::Duration::from_micros(100),
            validity: time::Duration::from_secs(2),
        }),
    };
    let queues = [queue("short", 0), queue("long", 1)];
    jobs::Manifest {
        version: 1,
        queues: queues
            .into_iter()
            .map(|queue| (queue.name.clone(), sync::Arc::new(queue)))
            .collect(),
        pools: indexmap::IndexMap::new(),
    }
}

/// Returns a job of one step.
pub(crate) fn job(id: model::JobId, queue: &str, step: model::Step) -> model::Job {
    model::Job {
        id,
        queue: queue.into(),
        spec: "text".into(),
        steps: vec![step],
        schedule: None,
    }
}

/// Returns a step of `task_count` tasks that take `processors_milli` for `run_ms` each.
pub(crate) fn step(task_count: u32, processors_milli: u32, run_ms: u32) -> model::Step {
    model::Step {
        task_count,
        demand: model::Demand {
            processors_milli,
            memory_mb: 100,
            accelerators: 0,
        },
        estimated_ms: run_ms,
        ..model::Step::default()
    }
}
