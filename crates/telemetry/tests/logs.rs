//! Format and buffering of log lines.

use std::io;
use std::sync;

use expect_test::expect;
use log::Log as _;

#[derive(Clone, Default)]
struct LockedOutput(sync::Arc<sync::Mutex<Vec<u8>>>);

impl LockedOutput {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().expect("no writer panicked").clone())
            .expect("lines are UTF-8")
    }
}

impl io::Write for LockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no writer panicked").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn each_record_is_one_line_of_pairs() {
    let output = LockedOutput::default();
    let logger = telemetry::LineLogger::without_time(log::LevelFilter::Info, output.clone());
    let write = |level, args: std::fmt::Arguments<'_>, pairs: &[(&str, &str)]| {
        let mut record = log::Record::builder();
        record.level(level).target("peer").key_values(&pairs);
        logger.log(&record.args(args).build());
    };
    write(
        log::Level::Warn,
        format_args!("lease lapsed"),
        &[
            ("worker", "w-07"),
            ("why", "no \"room\"\nat all"),
            ("empty", ""),
        ],
    );
    write(log::Level::Info, format_args!("started"), &[]);
    write(log::Level::Debug, format_args!("hidden"), &[]);
    expect![[r#"
        level=warn target=peer message="lease lapsed" worker=w-07 why="no \"room\"\nat all" empty=""
        level=info target=peer message=started
    "#]]
    .assert_eq(&output.text());
}

#[test]
fn lines_start_with_the_time() {
    let output = LockedOutput::default();
    let logger = telemetry::LineLogger::new(log::LevelFilter::Info, output.clone());
    let mut record = log::Record::builder();
    logger.log(&record.level(log::Level::Info).target("t").build());
    let text = output.text();
    let time = text.strip_prefix("time=").unwrap();
    assert_eq!(
        time.find(' '),
        Some("2026-01-01T00:00:00.000Z".len()),
        "{text}"
    );
}

#[test]
fn lines_beyond_the_limit_are_dropped_and_counted_without_blocking() {
    use std::io::Write as _;

    let output = CapturedOutput::default();
    let (mut writer, logs) =
        telemetry::spawn_log_writer(output.clone(), 20).expect("the thread starts");
    // The first line wakes the thread; the others stay buffered until it writes again.
    for _ in 0..1_000 {
        writer
            .write_all(b"0123456789\n")
            .expect("writes never fail");
    }
    logs.close();
    let text = output.text();
    let written = text.matches("0123456789").count();
    let dropped: usize = text
        .split("lines=")
        .skip(1)
        .filter_map(|rest| rest.split_whitespace().next())
        .filter_map(|number| number.parse::<usize>().ok())
        .sum();
    assert_eq!(written + dropped, 1_000, "{text}");
    assert!(dropped > 0, "{text}");
}

/// A collector that cuts long writes loses no line of a busy process: writes are short and end with
/// whole lines.
#[test]
fn buffered_lines_are_written_in_short_writes_of_whole_lines() {
    use std::io::Write as _;

    const MAX_WRITE_BYTES: usize = 8 * 1024;
    let output = WriteRecorder::default();
    let (mut writer, logs) =
        telemetry::spawn_log_writer(output.clone(), 1_000_000).expect("the thread starts");
    let long_line = [vec![b'x'; 2 * MAX_WRITE_BYTES], vec![b'\n']].concat();
    let lines = (0..2_000).map(|number| format!("line {number} of a busy process\n").into_bytes());
    let lines = lines.chain([long_line.clone(), b"last\n".to_vec()]);
    let lines: Vec<_> = lines.collect();
    for line in &lines {
        writer.write_all(line).expect("writes never fail");
    }
    logs.close();
    let writes = output.0.lock().expect("no writer panicked");
    for write in writes.iter() {
        assert!(write.ends_with(b"\n"), "a write ends within a line");
        assert!(write.len() <= MAX_WRITE_BYTES || *write == long_line);
    }
    assert_eq!(writes.concat(), lines.concat());
}

/// An output that keeps each write by itself.
#[derive(Clone, Default)]
struct WriteRecorder(std::sync::Arc<std::sync::Mutex<Vec<Vec<u8>>>>);

impl std::io::Write for WriteRecorder {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut writes = self.0.lock().expect("no writer panicked");
        writes.push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// An output whose content tests can read.
#[derive(Clone, Default)]
struct CapturedOutput(std::sync::Arc<std::sync::Mutex<Vec<u8>>>);

impl CapturedOutput {
    fn text(&self) -> String {
        let bytes = self.0.lock().expect("no writer panicked");
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl std::io::Write for CapturedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut written = self.0.lock().expect("no writer panicked");
        written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
