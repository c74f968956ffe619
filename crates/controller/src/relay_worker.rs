//! The side of a relay: makes the calls that the leader orders, and reports their results.

use std::sync;
use std::time;

use tokio::sync::mpsc;
use tokio_util::task;

use crate::heartbeat;
use crate::instance;
use crate::orders;
use crate::platform;

/// Time within which the leader must accept a channel.
const OPEN_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Pause before a lost channel is opened again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);
/// How long a result that the leader waits for may wait for others, to be reported together.
const URGENT_REPORT_DELAY: time::Duration = time::Duration::from_millis(4);
/// How long any other result may wait for others.
const REPORT_DELAY: time::Duration = time::Duration::from_millis(20);

/// Longest time between two messages to the leader, whose orders must be begun within some time after
/// the latest one.
const MAX_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Result of an order, and when it was received.
struct TimedReport {
    report: relay::Report,
    received_at: time::Instant,
}

/// The leader's questions on a channel whether its term still holds.
#[derive(Debug, Default)]
struct Questions {
    /// When the latest was asked, by the leader's clock.
    latest: sync::Mutex<Option<relay::OrderTime>>,
    /// Wakes the reports after a question that came without orders.
    asked: tokio::sync::Notify,
}

impl Questions {
    fn record(&self, batch: &relay::OrderBatch) {
        let mut latest = instance::lock(&self.latest);
        *latest = (*latest).max(Some(batch.asked_at));
        drop(latest);
        if batch.is_question() {
            self.asked.notify_one();
        }
    }

    fn latest(&self) -> Option<relay::OrderTime> {
        *instance::lock(&self.latest)
    }
}

/// Relays for whichever instance leads, until this instance stops.
pub(crate) async fn run<P: platform::Platform>(shared: sync::Arc<instance::Shared<P>>) {
    let mut cluster = shared.cluster.subscribe();
    let calls = task::TaskTracker::new();
    loop {
        let leader = cluster.borrow_and_update().leader().cloned();
        let leader = leader.filter(|one| one.member.instance_id != shared.member.instance_id);
        // A term is acknowledged before the hello to its leader, and no earlier leader is served after.
        let leader = leader.filter(|one| shared.acknowledge(one.term));
        if let Some(leader) = leader {
            let serving = serve_leader(&shared, &leader, &calls);
            let is_other_leader = |view: &elect::ClusterView| {
                view.leader()
                    .is_none_or(|current| current.term != leader.term)
            };
            tokio::select! {
                ended = serving => {
                    shared.leader_lost.notify_one();
                    log_end(&leader, ended);
                }
                _ = cluster.wait_for(is_other_leader) => continue,
                () = shared.stop.cancelled() => break,
            }
            tokio::select! {
                () = tokio::time::sleep(RETRY_PAUSE) => {}
                () = shared.stop.cancelled() => break,
            }
            continue;
        }
        tokio::select! {
            _ = cluster.changed() => {}
            () = shared.stop.cancelled() => break,
        }
    }
    calls.close();
    calls.wait().await;
}

fn log_end(leader: &elect::Leader, ended: Result<(), peer::Error>) {
    let leader_id = &leader.member.instance_id;
    match ended {
        Ok(()) => log::info!(
            leader:% = leader_id,
            term = leader.term;
            "relay channel closed by the leader"
        ),
        Err(cause) => log::info!(
            leader:% = leader_id,
            term = leader.term,
            cause:% = cause;
            "relay channel lost"
        ),
    }
}

/// Relays for a leader until the channel to it ends.
///
/// Calls that are being made when the channel ends are completed, and their results dropped: what
/// they have done is in the workers' listings.
async fn serve_leader<P: platform::Platform>(
    shared: &sync::Arc<instance::Shared<P>>,
    leader: &elect::Leader,
    calls: &task::TaskTracker,
) -> Result<(), peer::Error> {
    let clock = relay::OrderClock::new(time::Instant::now());
    let link = shared.links.to(&leader.member.address);
    let peer::Channel {
        mut sender,
        mut receiver,
    } = link.open_channel(OPEN_TIMEOUT).await?;
    let hello = relay::Hello {
        term: leader.term,
        data_centre: sync::Arc::clone(&shared.settings.data_centre),
        strength_milli: shared.settings.strength_milli,
        layout: relay::LAYOUT,
    };
    sender.send(&hello).await?;
    log::info!(leader:% = leader.member.instance_id, term = leader.term; "relaying for the leader");
    let (reports, mut reports_receiver) = mpsc::unbounded_channel();
    let questions = Questions::default();
    let receive = async {
        while let Some(batch) = receiver.receive::<relay::OrderBatch>().await? {
            questions.record(&batch);
            heartbeat::record_leader_state(shared, leader.term, batch.leader);
            for order in batch.into_orders() {
                let shared = sync::Arc::clone(shared);
                calls.spawn(execute(shared, order, clock, reports.clone()));
            }
        }
        Ok(())
    };
    let send = async {
        loop {
            let mut batch = next_batch(&mut reports_receiver, &questions, clock).await;
            // The question is taken before the term is compared: what was asked later, a successor
            // may already rely on.
            let asked_at = questions.latest();
            batch.confirmed = asked_at.filter(|_| shared.confirms(leader.term));
            sender.send(&batch).await?;
        }
    };
    tokio::select! {
        ended = receive => ended,
        ended = send => ended,
    }
}

async fn execute<P: platform::Platform>(
    shared: sync::Arc<instance::Shared<P>>,
    order: relay::Order,
    clock: relay::OrderClock,
    reports: mpsc::UnboundedSender<TimedReport>,
) {
    let id = order.id;
    let executing = orders::execute(&shared, order, clock);
    let response = tokio::select! {
        response = executing => response,
        () = shared.stop.cancelled() => return,
    };
    let report = TimedReport {
        report: relay::Report { id, response },
        received_at: time::Instant::now(),
    };
    // The receiver is gone once the channel has ended.
    let _ = reports.send(report);
}

/// Collects the results that are reported together; returns without any once the next message is due.
async fn next_batch(
    reports: &mut mpsc::UnboundedReceiver<TimedReport>,
    questions: &Questions,
    clock: relay::OrderClock,
) -> relay::ReportBatch {
    let mut collected = Vec::new();
    let mut send_at = time::Instant::now() + MAX_REPORT_INTERVAL;
    loop {
        let received = tokio::select! {
            // The channel's receiving side holds a sender, so there are results while it lives.
            received = reports.recv() => received,
            () = questions.asked.notified() => {
                send_at = send_at.min(time::Instant::now() + REPORT_DELAY);
                continue;
            }
            () = tokio::time::sleep_until(send_at.into()) => break,
        };
        let Some(report) = received else {
            break;
        };
        let delay = match report.report.response.is_urgent() {
            true => URGENT_REPORT_DELAY,
            false => REPORT_DELAY,
        };
        send_at = send_at.min(report.received_at + delay);
        collected.push(report);
    }
    let now = time::Instant::now();
    let reports = collected.into_iter().map(|timed| {
        let waited = now.saturating_duration_since(timed.received_at);
        relay::Report {
            id: timed.report.id,
            response: timed.report.response.aged_by(waited),
        }
    });
    relay::ReportBatch {
        sent_at: clock.reading(now),
        confirmed: None,
        reports: reports.collect(),
    }
}
