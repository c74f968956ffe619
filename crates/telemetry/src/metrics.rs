//! Counters, gauges and timings.

use std::fmt;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use cadence::Counted as _;
use cadence::Gauged as _;
use cadence::Timed as _;
use indexmap::IndexMap;

use crate::error;

/// Metrics queued for the sending thread; more are dropped.
const QUEUE_CAPACITY: usize = 4_096;
/// Significant digits of a histogram.
const HISTOGRAM_DIGITS: u8 = 2;
/// Longest duration that a histogram tells from longer ones, an hour, which bounds its memory to some
/// 30 KB.
const MAX_TIMING_MICROS: u64 = 3_600_000_000;
/// Reported quantiles of a timing, with their labels.
const QUANTILES: &[(&str, f64)] = &[("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0)];

/// Counters, gauges and timings, kept in the process and sent to a UDP address.
///
/// Clones share one set of metrics. No call blocks: what cannot be sent at once is queued, and
/// dropped when the queue is full. Names must come from closed sets, since none is ever removed.
#[derive(Clone)]
pub struct Metrics {
    shared: sync::Arc<Shared>,
}

/// A counter and how much of it was sent.
#[derive(Debug, Default)]
struct Counter {
    total: atomic::AtomicU64,
    /// Never more than `total`.
    sent: atomic::AtomicU64,
}

struct Shared {
    /// `None` if nothing is sent.
    client: Option<cadence::StatsdClient>,
    counters: sync::RwLock<IndexMap<String, Counter>>,
    gauges: sync::RwLock<IndexMap<String, atomic::AtomicU64>>,
    /// Samples in microseconds.
    timings: sync::Mutex<IndexMap<String, hdrhistogram::Histogram<u64>>>,
}

impl Metrics {
    /// Returns metrics that are kept in the process and not sent.
    #[must_use]
    pub fn without_exporter() -> Self {
        Self::with_client(None)
    }

    /// Returns metrics whose names start with `prefix` and that are sent to `address`.
    ///
    /// # Errors
    ///
    /// Returns [`error::ErrorKind::MetricsSocket`] if no socket could be set up.
    pub fn to_udp(address: net::SocketAddr, prefix: &str) -> Result<Self, error::Error> {
        let socket_error =
            |reason: &dyn fmt::Display| error::Error::new(error::ErrorKind::MetricsSocket, reason);
        let local_ip: net::IpAddr = if address.is_ipv4() {
            net::Ipv4Addr::UNSPECIFIED.into()
        } else {
            net::Ipv6Addr::UNSPECIFIED.into()
        };
        let socket = net::UdpSocket::bind((local_ip, 0)).map_err(|reason| socket_error(&reason))?;
        let udp = cadence::BufferedUdpMetricSink::from(address, socket)
            .map_err(|reason| socket_error(&reason))?;
        Ok(Self::to_sink(udp, prefix))
    }

    /// Returns metrics whose names start with `prefix` and that are queued for `sink`.
    #[must_use]
    pub fn to_sink<S>(sink: S, prefix: &str) -> Self
    where
        S: cadence::MetricSink + Sync + Send + std::panic::RefUnwindSafe + 'static,
    {
        let queue = cadence::QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
        Self::with_client(Some(cadence::StatsdClient::from_sink(prefix, queue)))
    }

    /// Adds one to the counter `name`.
    pub fn count(&self, name: &str) {
        self.count_by(name, 1);
    }

    /// Adds `amount` to the counter `name`; 0 registers it, so that reports include it.
    pub fn count_by(&self, name: &str, amount: u64) {
        let counters = read(&self.shared.counters);
        if let Some(counter) = counters.get(name) {
            counter.total.fetch_add(amount, atomic::Ordering::Relaxed);
            return;
        }
        drop(counters);
        let mut counters = write(&self.shared.counters);
        let counter = counters.entry(name.to_owned()).or_default();
        counter.total.fetch_add(amount, atomic::Ordering::Relaxed);
    }

    /// Sets the gauge `name`.
    pub fn gauge(&self, name: &str, value: u64) {
        let gauges = read(&self.shared.gauges);
        if let Some(gauge) = gauges.get(name) {
            gauge.store(value, atomic::Ordering::Relaxed);
            return;
        }
        drop(gauges);
        let mut gauges = write(&self.shared.gauges);
        let gauge = gauges.entry(name.to_owned()).or_default();
        gauge.store(value, atomic::Ordering::Relaxed);
    }

    /// Records and sends one duration as a sample of the timing `name`.
    pub fn time(&self, name: &str, duration: time::Duration) {
        if let Some(client) = &self.shared.client {
            let _ = client.time(name, duration);
        }
        let mut timings = lock(&self.shared.timings);
        if !timings.contains_key(name) {
            // Fails only for a precision that is out of range.
            let Ok(histogram) = hdrhistogram::Histogram::new(HISTOGRAM_DIGITS) else {
                return;
            };
            timings.insert(name.to_owned(), histogram);
        }
        if let Some(histogram) = timings.get_mut(name) {
            let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
            // Fails only if the histogram cannot grow; `saturating_record` would not let it grow at all.
            let _ = histogram.record(micros.min(MAX_TIMING_MICROS));
        }
    }

    /// Returns every counter, every gauge and the quantiles of every timing, by name.
    ///
    /// The quantiles of a timing are in microseconds.
    #[must_use]
    pub fn report(&self) -> IndexMap<String, u64> {
        let mut report = self.snapshot();
        report.extend(self.gauges());
        for (name, histogram) in lock(&self.shared.timings).iter() {
            report.insert(format!("{name}.count"), histogram.len());
            for (label, quantile) in QUANTILES {
                let value = histogram.value_at_quantile(*quantile);
                report.insert(format!("{name}.{label}_us"), value);
            }
        }
        report
    }

    /// Returns the total of every counter, by name, in order of first use.
    #[must_use]
    pub fn snapshot(&self) -> IndexMap<String, u64> {
        let counters = read(&self.shared.counters);
        let totals = counters.iter().map(|(name, counter)| {
            let total = counter.total.load(atomic::Ordering::Relaxed);
            (name.clone(), total)
        });
        totals.collect()
    }

    /// Returns the value of every gauge, by name, in order of first use.
    #[must_use]
    pub fn gauges(&self) -> IndexMap<String, u64> {
        let gauges = read(&self.shared.gauges);
        let values = gauges.iter().map(|(name, gauge)| {
            let value = gauge.load(atomic::Ordering::Relaxed);
            (name.clone(), value)
        });
        values.collect()
    }

    /// Queues the counts since the last flush and every gauge; call it about once a second.
    ///
    /// Dropping the last clone flushes too.
    pub fn flush(&self) {
        self.shared.flush();
    }

    fn with_client(client: Option<cadence::StatsdClient>) -> Self {
        Self {
            shared: sync::Arc::new(Shared {
                client,
                counters: sync::RwLock::default(),
                gauges: sync::RwLock::default(),
                timings: sync::Mutex::default(),
            }),
        }
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Shared {
    fn flush(&self) {
        let Some(client) = &self.client else {
            return;
        };
        for (name, counter) in read(&self.counters).iter() {
            let total = counter.total.load(atomic::Ordering::Relaxed);
            let sent = counter.sent.swap(total, atomic::Ordering::Relaxed);
            let amount = total.saturating_sub(sent);
            if amount > 0 {
                let _ = client.count(name, amount);
            }
        }
        for (name, gauge) in read(&self.gauges).iter() {
            let _ = client.gauge(name, gauge.load(atomic::Ordering::Relaxed));
        }
        let _ = client.flush();
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.flush();
    }
}

/// Locks a mutex, ignoring poisoning: its state stays usable after a panic elsewhere.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

// Ignores poisoning, since a panic elsewhere leaves the counters usable.
fn read<T>(lock: &sync::RwLock<T>) -> sync::RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(sync::PoisonError::into_inner)
}

fn write<T>(lock: &sync::RwLock<T>) -> sync::RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Returns text of operators as a part of a metric's name, which has no spaces, line ends or dots.
#[must_use]
pub fn metric_part(text: &str) -> String {
    let is_plain = |character: char| character.is_alphanumeric() || "-_".contains(character);
    let characters = text.chars();
    characters
        .map(|character| if is_plain(character) { character } else { '_' })
        .collect()
}
