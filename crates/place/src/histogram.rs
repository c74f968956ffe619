//! A small histogram with bounded memory that forgets old values.

const BUCKETS_PER_OCTAVE_LOG2: u32 = 3;
const BUCKETS: usize = 33 << BUCKETS_PER_OCTAVE_LOG2;
const MAX_COUNT: u32 = 512;

/// Counts values in buckets that are at most an eighth of an octave's start wide.
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

    /// Records a value; halves every count when there are [`MAX_COUNT`], so that old ones fade.
    pub(crate) fn record(&mut self, value: u64) {
        let value = value.min(u64::from(u32::MAX));
        let bucket = bucket_of(value);
        if self.counts.len() <= bucket {
            self.counts.resize(bucket + 1, 0);
        }
        self.counts[bucket] += 1;
        self.count += 1;
        self.sum += value;
        if self.count >= MAX_COUNT {
            self.fade();
        }
    }

    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Returns the mean of the recorded values, or 0 if there are none.
    pub(crate) fn mean(&self) -> u64 {
        self.sum / u64::from(self.count.max(1))
    }

    /// Returns the upper end of the bucket that holds the quantile `percent`, or 0 if empty.
    pub(crate) fn quantile(&self, percent: u32) -> u64 {
        let rank = (self.count * percent).div_ceil(100);
        let mut seen = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += u32::from(*count);
            if seen >= rank && seen > 0 {
                return upper_end(bucket);
            }
        }
        0
    }

    fn fade(&mut self) {
        let before = self.count;
        self.count = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.count += u32::from(*count);
        }
        self.sum = self.sum * u64::from(self.count) / u64::from(before);
    }
}

/// Returns the bucket of `value`: exact below 16, then eight to an octave.
fn bucket_of(value: u64) -> usize {
    let steps = 1_u64 << BUCKETS_PER_OCTAVE_LOG2;
    if value < 2 * steps {
        return value as usize;
    }
    let shift = value.ilog2() - BUCKETS_PER_OCTAVE_LOG2;
    let within = (value >> shift) - steps;
    let bucket = (u64::from(shift + 1) * steps + within) as usize;
    bucket.min(BUCKETS - 1)
}

/// Returns the largest value of `bucket`.
fn upper_end(bucket: usize) -> u64 {
    let steps = 1_usize << BUCKETS_PER_OCTAVE_LOG2;
    if bucket < 2 * steps {
        return bucket as u64;
    }
    let shift = bucket / steps - 1;
    let within = bucket % steps + steps;
    (((within + 1) as u64) << shift) - 1
}
