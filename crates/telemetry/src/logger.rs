//! Writes log records as lines of `key=value` pairs.

use std::fmt;
use std::io;

use crate::error;
use crate::pair;

const TIME_FORMAT: &[time::format_description::BorrowedFormatItem<'static>] = time::macros::format_description!(
    "time=[year]-[month]-[day]T[hour]:[minute]:[second].[subsecond digits:3]Z"
);

/// Writes each record as one line of `key=value` pairs.
pub struct LineLogger<W: io::Write + Send + 'static> {
    inner: Box<simplelog::WriteLogger<W>>,
}

impl<W: io::Write + Send + 'static> LineLogger<W> {
    /// Returns a logger of records at `level` or more severe.
    #[must_use]
    pub fn new(level: log::LevelFilter, output: W) -> Self {
        Self::with_config(level, &mut config_with_time(), output)
    }

    /// Returns a logger that omits the time, so that tests can compare its lines.
    #[must_use]
    pub fn without_time(level: log::LevelFilter, output: W) -> Self {
        let mut config = config_with_time();
        config.set_time_level(log::LevelFilter::Off);
        Self::with_config(level, &mut config, output)
    }

    fn with_config(
        level: log::LevelFilter,
        config: &mut simplelog::ConfigBuilder,
        output: W,
    ) -> Self {
        Self {
            inner: simplelog::WriteLogger::new(level, config.build(), output),
        }
    }
}

impl<W: io::Write + Send + 'static> log::Log for LineLogger<W> {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = Line { record };
        let mut builder = record.to_builder();
        self.inner
            .log(&builder.args(format_args!("{line}")).build());
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

/// Installs the process's logger, which writes to standard error.
///
/// # Errors
///
/// Returns [`error::ErrorKind::LoggerInstalled`] if a logger is already installed.
pub fn init_logs(level: log::LevelFilter) -> Result<(), error::Error> {
    let logger = LineLogger::new(level, io::stderr());
    log::set_boxed_logger(Box::new(logger))
        .map_err(|error| error::Error::new(error::ErrorKind::LoggerInstalled, error))?;
    log::set_max_level(level);
    Ok(())
}

fn config_with_time() -> simplelog::ConfigBuilder {
    let mut config = simplelog::ConfigBuilder::new();
    config
        .set_time_format_custom(TIME_FORMAT)
        .set_time_level(log::LevelFilter::Error)
        .set_level_padding(simplelog::LevelPadding::Off)
        .set_thread_level(log::LevelFilter::Off)
        .set_target_level(log::LevelFilter::Off)
        .set_location_level(log::LevelFilter::Off)
        .set_max_level(log::LevelFilter::Off);
    config
}

/// Displays a record as a line without its time.
struct Line<'a> {
    record: &'a log::Record<'a>,
}

impl fmt::Display for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let level = self.record.level().as_str().to_ascii_lowercase();
        write!(f, "{}", pair::kv("level", level))?;
        write!(f, " {}", pair::kv("target", self.record.target()))?;
        write!(f, " {}", pair::kv("message", self.record.args()))?;
        let mut writer = PairWriter { f };
        let result = self.record.key_values().visit(&mut writer);
        result.map_err(|_| fmt::Error)
    }
}

/// Writes the key-value pairs of a record, each after a space.
struct PairWriter<'a, 'b> {
    f: &'a mut fmt::Formatter<'b>,
}

impl<'kvs> log::kv::VisitSource<'kvs> for PairWriter<'_, '_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        write!(self.f, " {}", pair::kv(key.as_str(), value))?;
        Ok(())
    }
}
