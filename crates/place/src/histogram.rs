//! A histogram with bounded memory in which old values decay.

const BUCKETS_PER_OCTAVE_LOG2: u32 = 3;
const BUCKETS: usize = 33 << BUCKETS_PER_OCTAVE_LOG2;
const MAX_SAMPLES: u32 = 512;

/// Counts values in buckets whose width is at most an eighth of the start of their octave.
#[derive(Clone, Debug)]
pub(crate) struct Histogram {
    counts: Vec<u16>,
    count: u32,
    sum: u64,
}

impl Histogram {
    pub(crate) fn new() -> Self {
        Self {
            counts: Vec::new(),
            count: 0,
            sum: 0,
        }
    }

    /// Records a value; halves every count at [`MAX_SAMPLES`] values, so that old ones decay.
    pub(crate) fn record(&mut self, value: u64) {
        let value = value.min(u64::from(u32::MAX));
        let bucket = bucket_of(value);
        if self.counts.len() <= bucket {
            self.counts.resize(bucket + 1, 0);
        }
        self.counts[bucket] += 1;
        self.count += 1;
        self.sum += value;
        if self.count >= MAX_SAMPLES {
            self.decay();
        }
    }

    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Returns the mean of the recorded values, or 0 if there are none.
    pub(crate) fn mean(&self) -> u64 {
        self.sum / u64::from(self.count.max(1))
    }

    /// Returns the upper bound of the bucket that holds the percentile `percent`, or 0 if empty.
    pub(crate) fn percentile(&self, percent: u32) -> u64 {
        let rank = (self.count * percent).div_ceil(100);
        let mut cumulative = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            cumulative += u32::from(*count);
            if cumulative >= rank && cumulative > 0 {
                return upper_bound(bucket);
            }
        }
        0
    }

    fn decay(&mut self) {
        let before = self.count;
        self.count = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.count += u32::from(*count);
        }
        self.sum = self.sum * u64::from(self.count) / u64::from(before);
    }
}

/// Returns the bucket of `value`: exact below 16, then eight buckets per octave.
fn bucket_of(value: u64) -> usize {
    let buckets_per_octave = 1_u64 << BUCKETS_PER_OCTAVE_LOG2;
    if value < 2 * buckets_per_octave {
        return value as usize;
    }
    let shift = value.ilog2() - BUCKETS_PER_OCTAVE_LOG2;
    let offset = (value >> shift) - buckets_per_octave;
    let bucket = (u64::from(shift + 1) * buckets_per_octave + offset) as usize;
    bucket.min(BUCKETS - 1)
}

/// Returns the largest value of `bucket`.
fn upper_bound(bucket: usize) -> u64 {
    let buckets_per_octave = 1_usize << BUCKETS_PER_OCTAVE_LOG2;
    if bucket < 2 * buckets_per_octave {
        return bucket as u64;
    }
    let shift = bucket / buckets_per_octave - 1;
    let offset = bucket % buckets_per_octave + buckets_per_octave;
    (((offset + 1) as u64) << shift) - 1
}
