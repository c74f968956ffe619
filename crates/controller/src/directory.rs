//! Decoding of the worker directory.

use std::time;

use indexmap::IndexMap;

use crate::instance;
use crate::platform;

/// Time between two reads for each worker: reading thousands of entries each second would take a
/// leader more time than deciding.
const INTERVAL_PER_WORKER: time::Duration = time::Duration::from_micros(400);

/// Longest time between two reads: no run is started by a directory that is some seconds old.
const MAX_INTERVAL: time::Duration = time::Duration::from_millis(1_500);

/// Returns the time between the beginnings of two reads of a directory of `workers`.
pub(crate) fn interval<P: platform::Platform>(
    shared: &instance::Shared<P>,
    workers: usize,
) -> time::Duration {
    let workers = u32::try_from(workers).unwrap_or(u32::MAX);
    let scaled = INTERVAL_PER_WORKER.saturating_mul(workers);
    shared
        .settings
        .directory_interval
        .max(scaled.min(MAX_INTERVAL))
}

/// Decodes reads of the directory; entries that have not changed are decoded once.
#[derive(Debug)]
pub(crate) struct Reader {
    /// Time between two reports of a worker, at most.
    report_interval: time::Duration,
    /// Time between two reads from which the store counts as having been unavailable to workers as
    /// well, for long enough that their entries may be out of date.
    max_read_gap: time::Duration,
    /// Reports of the last read by key, with the revisions of their entries; `None` for an entry that
    /// cannot be decoded.
    reports: IndexMap<String, (store::Revision, Option<jobs::WorkerReport>)>,
    /// When the last read began.
    read_at: Option<time::Instant>,
    /// From when every worker has had the time to report since the store was last unavailable;
    /// `None` if it is not known to have been.
    settles_at: Option<time::Instant>,
    /// Revisions of the entries that may have been written before that; only used until `settles_at`.
    old_revisions: IndexMap<String, store::Revision>,
}

impl Reader {
    /// Creates a reader; the store was last reachable again at `store_regained_at`.
    pub(crate) fn new(settings: &jobs::Settings, store_regained_at: Option<time::Instant>) -> Self {
        Self {
            report_interval: settings.report_interval,
            max_read_gap: settings.max_report_age(),
            reports: IndexMap::new(),
            read_at: None,
            settles_at: store_regained_at.map(|at| at + settings.report_interval),
            old_revisions: IndexMap::new(),
        }
    }

    /// Returns the reports of all entries that can be decoded; the read of them began at `read_at`.
    pub(crate) fn decode<P: platform::Platform>(
        &mut self,
        shared: &instance::Shared<P>,
        entries: &[store::Entry],
        read_at: time::Instant,
    ) -> Vec<jobs::WorkerReport> {
        self.note_read(entries, read_at);
        let is_settled = self.settles_at.is_none_or(|at| at <= read_at);
        let mut last = std::mem::take(&mut self.reports);
        for entry in entries {
            let known = last
                .swap_remove(&entry.key)
                .filter(|(revision, _)| *revision == entry.modified_revision);
            let report = match known {
                Some((_, report)) => report,
                None => decode_entry(shared, entry),
            };
            self.reports
                .insert(entry.key.clone(), (entry.modified_revision, report));
        }
        let reports = self.reports.iter().filter_map(|(key, (revision, report))| {
            let is_current = is_settled || self.old_revisions.get(key) != Some(revision);
            let report = report.clone()?;
            Some(jobs::WorkerReport {
                is_current,
                ..report
            })
        });
        reports.collect()
    }

    /// Keeps the revisions of entries that workers may have been unable to replace.
    fn note_read(&mut self, entries: &[store::Entry], read_at: time::Instant) {
        match self.read_at.replace(read_at) {
            None => {
                let revisions = entries
                    .iter()
                    .map(|entry| (entry.key.clone(), entry.modified_revision));
                self.old_revisions = revisions.collect();
            }
            Some(last) if read_at.saturating_duration_since(last) > self.max_read_gap => {
                self.settles_at = Some(read_at + self.report_interval);
                let revisions = self
                    .reports
                    .iter()
                    .map(|(key, (revision, _))| (key.clone(), *revision));
                self.old_revisions = revisions.collect();
            }
            Some(_) => {}
        }
    }
}

fn decode_entry<P: platform::Platform>(
    shared: &instance::Shared<P>,
    entry: &store::Entry,
) -> Option<jobs::WorkerReport> {
    match shared.platform.decode_worker(entry) {
        Ok(report) => Some(report),
        Err(cause) => {
            shared.metrics.count("directory.unreadable");
            log::debug!(
                key:% = entry.key,
                cause;
                "skipping a worker entry that cannot be decoded"
            );
            None
        }
    }
}
