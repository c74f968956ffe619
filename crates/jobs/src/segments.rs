//! Tracks which segments of the store are still needed.

use std::collections;

use crate::maps;
use crate::record;

/// Archived outcomes: one value with the outcomes of many ended jobs.
#[derive(Debug)]
struct Archive {
    key: String,
    newest_end_ms: u64,
}

/// The segments that hold the newest definition and progress of a job.
#[derive(Clone, Copy, Debug, Default)]
struct RecordLocation {
    definition: Option<record::SegmentId>,
    progress: Option<record::SegmentId>,
}

/// A segment in the store.
#[derive(Clone, Copy, Debug, Default)]
struct Segment {
    /// Number of definitions and progress records in it that are still needed.
    live_records: u32,
    bytes: usize,
}

/// The segments in the store.
#[derive(Debug, Default)]
pub(crate) struct Segments {
    segments: collections::BTreeMap<record::SegmentId, Segment>,
    /// Sum over `segments`.
    bytes: usize,
    locations: maps::IndexMap<model::JobId, RecordLocation>,
    /// Ended jobs whose outcomes are not archived yet.
    pub(crate) unarchived: Vec<model::JobId>,
    archives: collections::VecDeque<Archive>,
    /// Keys that are no longer needed and wait to be deleted.
    pub(crate) garbage: Vec<String>,
}

impl Segments {
    /// Returns the number of segments in the store.
    pub(crate) fn len(&self) -> usize {
        self.segments.len()
    }

    /// Returns the total size in bytes of the segments, all of which a new leader has to read.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a segment that is in the store.
    pub(crate) fn add(&mut self, id: record::SegmentId, bytes: usize) {
        self.segments.entry(id).or_default().bytes = bytes;
        self.bytes += bytes;
    }

    /// Records that a segment has the newest record of a job, unless a later one is known.
    pub(crate) fn add_record(
        &mut self,
        id: record::SegmentId,
        job_id: model::JobId,
        has_definition: bool,
        is_ended: bool,
    ) {
        let location = self.locations.entry(job_id).or_default();
        let mut released = Vec::new();
        if location.progress < Some(id) {
            released.extend(location.progress.replace(id));
            self.segments.entry(id).or_default().live_records += 1;
            if is_ended {
                released.extend(location.definition.take());
                self.unarchived.push(job_id);
            }
        }
        if has_definition && !is_ended && location.definition < Some(id) {
            released.extend(location.definition.replace(id));
            self.segments.entry(id).or_default().live_records += 1;
        }
        for segment in released {
            self.release(segment);
        }
    }

    /// Removes a job, so that no segment has to be kept for it.
    pub(crate) fn remove_job(&mut self, job_id: model::JobId) {
        if let Some(location) = self.locations.swap_remove(&job_id) {
            for segment in location.definition.into_iter().chain(location.progress) {
                self.release(segment);
            }
        }
    }

    /// Adds an archive that is in the store.
    pub(crate) fn add_archive(&mut self, key: String, newest_end_ms: u64) {
        self.archives.push_back(Archive { key, newest_end_ms });
    }

    /// Marks for deletion the archives of which all jobs ended before `limit_ms`, in milliseconds
    /// since 1970.
    pub(crate) fn expire_archives(&mut self, limit_ms: u64) {
        let expired = self
            .archives
            .iter()
            .take_while(|archive| archive.newest_end_ms < limit_ms)
            .count();
        let keys = self.archives.drain(..expired).map(|archive| archive.key);
        self.garbage.extend(keys);
    }

    /// Marks for deletion the segments without records that are still needed.
    pub(crate) fn collect_garbage(&mut self) {
        let (garbage, bytes) = (&mut self.garbage, &mut self.bytes);
        self.segments.retain(|id, segment| {
            if segment.live_records == 0 {
                garbage.push(id.key(record::SEGMENT_PREFIX));
                *bytes -= segment.bytes;
            }
            segment.live_records > 0
        });
    }

    /// Returns the jobs that keep the `count` oldest segments from being deleted.
    pub(crate) fn jobs_in_oldest(&self, count: usize) -> Vec<model::JobId> {
        let Some(limit) = self.segments.keys().nth(count) else {
            return Vec::new();
        };
        let old = self.locations.iter().filter(|(_, location)| {
            location.definition.is_some_and(|id| id < *limit)
                || location.progress.is_some_and(|id| id < *limit)
        });
        old.map(|(job_id, _)| *job_id).collect()
    }

    fn release(&mut self, id: record::SegmentId) {
        if let Some(segment) = self.segments.get_mut(&id) {
            segment.live_records = segment.live_records.saturating_sub(1);
        }
    }
}
