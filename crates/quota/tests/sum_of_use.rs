//! Property tests of limits with lost, late and duplicated messages, crashes of instances and
//! changes of the grantor.

use std::time;

use indexmap::IndexMap;
use model::Demand;
use model::PlanId;
use model::QuotaAmount;
use model::QuotaAsk;
use model::QuotaReply;
use proptest::prelude::*;
use quota::Grantor;
use quota::GrantorSettings;
use quota::Limits;
use quota::LocalQuota;

const INSTANCES: usize = 3;
const ORPHAN_SHARE_RETENTION: time::Duration = time::Duration::from_secs(10);
const LIMIT_TASKS: u32 = 12;
/// Rounds until an unused share is granted to another instance: every instance reports to the new
/// grantor, gets its smaller share and confirms it; then the share is free for the next request.
const ROUNDS: usize = 4;
const LIMIT_MILLI: u32 = 12_000;

#[derive(Clone, Debug)]
enum Step {
    AcquireAll(usize),
    Release(usize, usize),
    Want(usize, u32),
    /// A request and its reply, both delivered at once.
    Exchange(usize),
    /// A delivered request; its reply may come late, twice or never.
    RequestDelivered(usize),
    Request(usize),
    DeliverRequest {
        index: usize,
        keep: bool,
    },
    DeliverReply {
        index: usize,
        keep: bool,
    },
    DropRequest(usize),
    DropReply(usize),
    Crash(usize),
    Adopt(usize),
    ChangeGrantor,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let id = 0..INSTANCES;
    prop_oneof![
        6 => id.clone().prop_map(Step::AcquireAll),
        3 => (id.clone(), 1..8_usize).prop_map(|(id, count)| Step::Release(id, count)),
        4 => (id.clone(), prop::sample::select(vec![0, 2, LIMIT_TASKS]))
            .prop_map(|(id, tasks)| Step::Want(id, tasks)),
        6 => id.clone().prop_map(Step::Exchange),
        4 => id.clone().prop_map(Step::RequestDelivered),
        1 => id.clone().prop_map(Step::Request),
        2 => (0..32_usize, prop::bool::weighted(0.2))
            .prop_map(|(index, keep)| Step::DeliverRequest { index, keep }),
        4 => (0..32_usize, prop::bool::weighted(0.2))
            .prop_map(|(index, keep)| Step::DeliverReply { index, keep }),
        1 => (0..32_usize).prop_map(Step::DropRequest),
        1 => (0..32_usize).prop_map(Step::DropReply),
        1 => id.clone().prop_map(Step::Crash),
        1 => id.prop_map(Step::Adopt),
        1 => Just(Step::ChangeGrantor),
        1 => (100..4_000_u64).prop_map(Step::Wait),
    ]
}

/// Local quotas of all instances and two grantors, of which one is active.
struct Cluster {
    now: time::Instant,
    plan: PlanId,
    local_quotas: IndexMap<usize, LocalQuota>,
    acquired: IndexMap<usize, Vec<QuotaAmount>>,
    instance_starts: usize,
    orphans: Vec<(time::Instant, QuotaAmount)>,
    grantors: [Grantor; 2],
    active: usize,
    requests: Vec<QuotaAsk>,
    replies: Vec<(usize, QuotaReply)>,
}

fn limits() -> Limits {
    Limits {
        processors_milli: Some(LIMIT_MILLI),
        memory_mb: None,
        accelerators: None,
        tasks: Some(LIMIT_TASKS),
        rate_milli: None,
    }
}

fn amount_of(tasks: u32) -> QuotaAmount {
    QuotaAmount {
        resources: Demand {
            processors_milli: tasks * 1_000,
            memory_mb: tasks,
            accelerators: 0,
        },
        tasks,
        rate_milli: 0,
    }
}

impl Cluster {
    fn new() -> Self {
        let now = time::Instant::now();
        let plan: PlanId = "plan".into();
        let grantor = || {
            let mut grantor = Grantor::new(GrantorSettings {
                orphan_share_retention: ORPHAN_SHARE_RETENTION,
            });
            grantor.set_limits([(PlanId::from("plan"), limits())].into_iter().collect());
            grantor
        };
        let mut cluster = Self {
            now,
            plan,
            local_quotas: IndexMap::new(),
            acquired: IndexMap::new(),
            instance_starts: 0,
            orphans: Vec::new(),
            grantors: [grantor(), grantor()],
            active: 0,
            requests: Vec::new(),
            replies: Vec::new(),
        };
        for id in 0..INSTANCES {
            cluster.start_instance(id);
        }
        cluster.update_live_instances();
        cluster.grantors[0].take_over(vec![cluster.plan.clone()], Vec::new(), now);
        cluster
    }

    fn start_instance(&mut self, id: usize) {
        self.instance_starts += 1;
        let name = format!("i{id}#{}", self.instance_starts);
        let mut local_quota = LocalQuota::new(name.into(), self.now);
        let all = [(self.plan.clone(), limits())].into_iter().collect();
        local_quota.set_limits(all, self.now);
        self.local_quotas.insert(id, local_quota);
        self.acquired.insert(id, Vec::new());
    }

    fn update_live_instances(&mut self) {
        let live: Vec<_> = self
            .local_quotas
            .values()
            .map(|local_quota| local_quota.instance_id().clone())
            .collect();
        for grantor in &mut self.grantors {
            grantor.set_instances(live.clone(), Vec::new(), self.now);
        }
    }

    fn try_acquire(&mut self, id: usize, amount: QuotaAmount) -> bool {
        let acquired = self.local_quotas[&id].try_acquire(&self.plan, amount, self.now);
        if acquired {
            self.acquired[&id].push(amount);
        }
        acquired
    }

    fn release(&mut self, id: usize) {
        if let Some(amount) = self.acquired[&id].pop() {
            self.local_quotas[&id].release(&self.plan, amount);
        }
    }

    fn exchange(&mut self, id: usize, deliver_reply: bool) {
        self.request(id);
        self.deliver_request(self.requests.len() - 1, false);
        if deliver_reply {
            self.deliver_reply(self.replies.len() - 1, false);
        }
    }

    fn request(&mut self, id: usize) {
        let requests = self.local_quotas[&id].requests(self.now);
        self.requests.extend(requests);
    }

    fn deliver_request(&mut self, index: usize, keep: bool) {
        if self.requests.is_empty() {
            return;
        }
        let index = index % self.requests.len();
        let request = self.requests[index].clone();
        if !keep {
            self.requests.remove(index);
        }
        let asking_quota = self
            .local_quotas
            .iter()
            .find(|(_, local_quota)| *local_quota.instance_id() == request.instance_id);
        let Some((id, _)) = asking_quota else {
            return;
        };
        let id = *id;
        let reply = self.grantors[self.active].on_request(request, self.now);
        self.replies.push((id, reply));
    }

    fn deliver_reply(&mut self, index: usize, keep: bool) {
        if self.replies.is_empty() {
            return;
        }
        let index = index % self.replies.len();
        let (id, reply) = self.replies[index].clone();
        if !keep {
            self.replies.remove(index);
        }
        self.local_quotas[&id].on_reply(reply, self.now);
    }

    fn crash(&mut self, id: usize) {
        for amount in self.acquired[&id].drain(..) {
            self.orphans.push((self.now, amount));
        }
        self.replies.retain(|(to, _)| *to != id);
        self.start_instance(id);
        self.update_live_instances();
    }

    /// Moves every orphaned task to the instance `id`, which then asks.
    fn adopt(&mut self, id: usize) {
        for (_, amount) in std::mem::take(&mut self.orphans) {
            self.local_quotas[&id].acquire_unchecked(&self.plan, amount);
            self.acquired[&id].push(amount);
        }
        for request in self.local_quotas[&id].requests(self.now) {
            let reply = self.grantors[self.active].on_request(request, self.now);
            self.replies.push((id, reply));
        }
    }

    fn change_grantor(&mut self) {
        let plan = self.plan.clone();
        self.grantors[self.active].remove_plan(&plan);
        self.active = 1 - self.active;
        self.requests.clear();
        let grants = self
            .local_quotas
            .values()
            .flat_map(LocalQuota::held_shares)
            .collect();
        self.grantors[self.active].take_over(vec![plan], grants, self.now);
    }

    fn wait(&mut self, millis: u64) {
        self.now += time::Duration::from_millis(millis);
        let overdue =
            |(at, _): &(time::Instant, QuotaAmount)| self.now > *at + ORPHAN_SHARE_RETENTION / 3;
        if self.orphans.iter().any(overdue) {
            self.adopt(0);
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::AcquireAll(id) => while self.try_acquire(id, amount_of(1)) {},
            Step::Release(id, count) => {
                for _ in 0..count.min(self.acquired[&id].len()) {
                    self.release(id);
                }
            }
            Step::Exchange(id) => self.exchange(id, true),
            Step::RequestDelivered(id) => self.exchange(id, false),
            Step::Want(id, tasks) => {
                self.local_quotas[&id].set_wanted(&self.plan, amount_of(tasks))
            }
            Step::Request(id) => self.request(id),
            Step::DeliverRequest { index, keep } => self.deliver_request(index, keep),
            Step::DeliverReply { index, keep } => self.deliver_reply(index, keep),
            Step::DropRequest(index) if index < self.requests.len() => {
                self.requests.remove(index);
            }
            Step::DropReply(index) if index < self.replies.len() => {
                self.replies.remove(index);
            }
            Step::DropRequest(_) | Step::DropReply(_) => {}
            Step::Crash(id) => self.crash(id),
            Step::Adopt(id) => self.adopt(id),
            Step::ChangeGrantor => self.change_grantor(),
            Step::Wait(millis) => self.wait(millis),
        }
    }

    fn used_tasks(&self) -> u32 {
        let acquired = self.acquired.values().flatten();
        let orphans = self.orphans.iter().map(|(_, amount)| amount);
        acquired.chain(orphans).map(|amount| amount.tasks).sum()
    }

    fn round(&mut self) {
        self.wait(200);
        for id in 0..INSTANCES {
            self.exchange(id, true);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    #[test]
    fn total_use_stays_within_the_limit(steps in prop::collection::vec(step(), 1..160)) {
        let mut cluster = Cluster::new();
        for (index, step) in steps.into_iter().enumerate() {
            let text = format!("{step:?}");
            cluster.apply(step);
            let used = cluster.used_tasks();
            prop_assert!(used <= LIMIT_TASKS, "step {index}, {text}: {used} tasks in use");
        }
    }

    #[test]
    fn unused_share_is_granted(steps in prop::collection::vec(step(), 1..80), who in 0..INSTANCES) {
        let mut cluster = Cluster::new();
        for step in steps {
            cluster.apply(step);
        }
        cluster.adopt(0);
        for id in 0..INSTANCES {
            cluster.apply(Step::Release(id, usize::MAX));
            cluster.apply(Step::Want(id, 0));
        }
        cluster.wait(20_000);
        let wanted = LIMIT_TASKS;
        cluster.apply(Step::Want(who, wanted));
        for _ in 0..ROUNDS {
            cluster.round();
        }
        let plan = cluster.plan.clone();
        let acquired = cluster.local_quotas[&who].try_acquire(&plan, amount_of(wanted), cluster.now);
        let held = &cluster.local_quotas[&who].held_shares()[0].held;
        prop_assert!(acquired, "instance {who} holds {held:?} after {ROUNDS} rounds");
    }

    #[test]
    fn contending_large_tasks_all_get_started(size in 3..12_u32) {
        let mut cluster = Cluster::new();
        for id in 0..INSTANCES {
            cluster.apply(Step::Want(id, 0));
            let large = QuotaAmount { tasks: 1, ..amount_of(size) };
            cluster.local_quotas[&id].set_wanted(&cluster.plan, large);
        }
        let mut started = [false; INSTANCES];
        for _ in 0..60 {
            cluster.round();
            for (id, started) in started.iter_mut().enumerate() {
                let large = QuotaAmount { tasks: 1, ..amount_of(size) };
                if cluster.try_acquire(id, large) {
                    *started = true;
                    cluster.release(id);
                }
            }
        }
        prop_assert_eq!(started, [true; INSTANCES]);
    }
}

#[test]
fn idle_instances_have_a_baseline_share() {
    let mut cluster = Cluster::new();
    for _ in 0..2 {
        cluster.round();
    }
    for id in 0..INSTANCES {
        assert!(
            cluster.try_acquire(id, amount_of(1)),
            "instance {id} has no share"
        );
    }
}

#[test]
fn unlimited_dimensions_never_block() {
    let now = time::Instant::now();
    let plan = PlanId::from("free");
    let mut local_quota = LocalQuota::new("a#1".into(), now);
    let unlimited = [(plan.clone(), Limits::default())].into_iter().collect();
    local_quota.set_limits(unlimited, now);
    assert!(local_quota.try_acquire(&plan, amount_of(100_000), now));
    assert!(!local_quota.try_acquire(&PlanId::from("none"), amount_of(1), now));
}

#[test]
fn starts_are_limited_to_the_granted_rate() {
    let mut now = time::Instant::now();
    let plan = PlanId::from("slow");
    let rate = Limits {
        rate_milli: Some(5_000),
        ..Limits::default()
    };
    let limits: IndexMap<_, _> = [(plan.clone(), rate)].into_iter().collect();
    let mut local_quota = LocalQuota::new("a#1".into(), now);
    local_quota.set_limits(limits.clone(), now);
    let mut grantor = Grantor::new(GrantorSettings {
        orphan_share_retention: ORPHAN_SHARE_RETENTION,
    });
    grantor.set_limits(limits);
    grantor.set_instances(vec!["a#1".into()], Vec::new(), now);
    grantor.take_over(vec![plan.clone()], Vec::new(), now);
    local_quota.set_wanted(&plan, amount_of(100));
    for request in local_quota.requests(now) {
        local_quota.on_reply(grantor.on_request(request, now), now);
    }
    let mut starts = 0;
    for _ in 0..1_000 {
        now += time::Duration::from_millis(10);
        if local_quota.try_acquire(&plan, amount_of(1), now) {
            starts += 1;
        }
    }
    assert!(
        (49..=56).contains(&starts),
        "{starts} starts in 10 s at 5/s"
    );
}
