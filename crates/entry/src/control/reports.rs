//! Reports about runs, sent by this instance as a holder to the owners.

use std::time;

use indexmap::IndexMap;

use crate::control::effect;
use crate::control::input;
use crate::control::state;

/// Timeout of a message with reports to an owner.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
/// Delay before reports that were not accepted are sent again.
const REPORT_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// Limit of reports in one message.
const MAX_REPORTS_PER_MESSAGE: usize = 64;

/// Reports that no owner has accepted yet.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    ready: Vec<model::RunReport>,
    delayed: Vec<(time::Instant, model::RunReport)>,
    in_flight: usize,
}

impl Outbox {
    pub(super) fn is_empty(&self) -> bool {
        self.ready.is_empty() && self.delayed.is_empty() && self.in_flight == 0
    }

    pub(super) fn push(&mut self, report: model::RunReport) {
        self.ready.push(report);
    }

    fn delay(&mut self, reports: Vec<model::RunReport>, until: time::Instant) {
        let delayed = reports.into_iter().map(|report| (until, report));
        self.delayed.extend(delayed);
    }

    fn take_due(&mut self, now: time::Instant) -> Vec<model::RunReport> {
        let mut due = std::mem::take(&mut self.ready);
        let delayed = std::mem::take(&mut self.delayed);
        for (until, report) in delayed {
            if until <= now {
                due.push(report);
            } else {
                self.delayed.push((until, report));
            }
        }
        due
    }
}

impl state::Control {
    /// Sends each due report to the owner of its task.
    pub(super) fn flush_reports(&mut self, now: time::Instant) {
        loop {
            let due = self.outbox.take_due(now);
            if due.is_empty() {
                return;
            }
            let mut batches: IndexMap<Option<model::InstanceId>, Vec<model::RunReport>> =
                IndexMap::new();
            for report in due {
                let partition = model::partition_of(report.run.task_id);
                let owner_id = self.owner.owner_of(partition).cloned();
                batches.entry(owner_id).or_default().push(report);
            }
            for (owner_id, reports) in batches {
                self.send_reports(owner_id, reports, now);
            }
        }
    }

    fn send_reports(
        &mut self,
        owner_id: Option<model::InstanceId>,
        reports: Vec<model::RunReport>,
        now: time::Instant,
    ) {
        let Some(owner_id) = owner_id else {
            self.outbox.delay(reports, now + REPORT_RETRY_DELAY);
            return;
        };
        if self.is_self(&owner_id) {
            self.on_reports_accepted(&reports);
            self.owner_event(owner::Event::Reports(reports), now);
            return;
        }
        for batch in reports.chunks(MAX_REPORTS_PER_MESSAGE) {
            let request = model::PeerRequest::Report(batch.to_vec());
            let context = effect::CallContext::Report(batch.to_vec());
            if self.call(&owner_id, request, REPORT_TIMEOUT, context) {
                self.outbox.in_flight += 1;
            } else {
                self.outbox.delay(batch.to_vec(), now + REPORT_RETRY_DELAY);
            }
        }
    }

    /// Handles the result of a report call.
    pub(super) fn on_report_ended(
        &mut self,
        address: &str,
        reports: Vec<model::RunReport>,
        result: Result<model::PeerResponse, input::CallError>,
        now: time::Instant,
    ) {
        self.outbox.in_flight -= 1;
        match result {
            Ok(model::PeerResponse::Accepted) => self.on_reports_accepted(&reports),
            Ok(_) => {
                self.fetch_table(address, now);
                self.outbox.delay(reports, now + REPORT_RETRY_DELAY);
            }
            Err(_) => {
                self.metrics.count("retry.report");
                self.outbox.delay(reports, now + REPORT_RETRY_DELAY);
            }
        }
    }

    /// Marks results that an owner has accepted for acknowledgement to their workers.
    fn on_reports_accepted(&mut self, reports: &[model::RunReport]) {
        for report in reports {
            if !self.runs.finished.contains_key(&report.run) {
                continue;
            }
            if let Some(worker) = self.workers.get_mut(&report.worker_id) {
                worker.to_acknowledge.insert(report.run);
            }
        }
    }

    /// Returns a report about a run on a worker of this instance.
    pub(super) fn build_report(
        &self,
        run: model::TaskAttempt,
        task: Option<model::Task>,
        worker_id: model::WorkerId,
        state: model::RunState,
    ) -> model::RunReport {
        model::RunReport {
            run,
            task,
            holder: self.own_id().clone(),
            worker_id,
            state,
        }
    }
}
