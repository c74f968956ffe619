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
#[derive(Debug, Default)]
pub(crate) struct Reader {
    /// Reports of the last read by key, with the revisions of their entries; `None` for an entry that
    /// cannot be decoded.
    reports: IndexMap<String, (store::Revision, Option<jobs::WorkerReport>)>,
}

impl Reader {
    /// Returns the reports of all entries that can be decoded.
    pub(crate) fn decode<P: platform::Platform>(
        &mut self,
        shared: &instance::Shared<P>,
        entries: &[store::Entry],
    ) -> Vec<jobs::WorkerReport> {
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
        let reports = self.reports.values();
        reports.filter_map(|(_, report)| report.clone()).collect()
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
