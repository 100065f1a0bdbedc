//! Logging to a sink whose reader has stalled.

use {
    flexi_logger::writers::LogWriter,
    jasmine_telemetry::log::BoundedWriter,
    log::Level,
    std::{
        io::{self, Write},
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

#[derive(Default)]
struct State {
    is_open: bool,
    bytes: Vec<u8>,
}

/// A sink that blocks until it is opened.
#[derive(Clone, Default)]
struct BlockingSink {
    state: Arc<Mutex<State>>,
    opened: Arc<Condvar>,
}

impl BlockingSink {
    fn open(&self) {
        self.state.lock().unwrap().is_open = true;
        self.opened.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.state.lock().unwrap().bytes.clone()).unwrap()
    }
}

impl Write for BlockingSink {
    fn write(
        &mut self,
        buf: &[u8],
    ) -> io::Result<usize> {
        let mut state = self.state.lock().unwrap();
        while !state.is_open {
            state = self.opened.wait(state).unwrap();
        }
        state.bytes.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The numbers of dropped lines, one for each write that followed a drop.
fn dropped_lines(text: &str) -> impl Iterator<Item = usize> + '_ {
    let reports = text
        .lines()
        .filter(|line| line.contains("event=log_dropped"));
    reports.map(|line| {
        let count = line.split("lines=").nth(1).expect("the number of lines");
        count.parse().expect("a number")
    })
}

#[test]
fn a_stalled_reader_does_not_block_logging() {
    // Guards against a stalled log reader blocking the daemon, and against losing warnings or the number of
    // dropped lines.
    let sink = BlockingSink::default();
    let writer = BoundedWriter::new(sink.clone());
    let start = Instant::now();
    let ordinary = format!("event=request_ended {}\n", "x".repeat(200));
    for _ in 0..5_000 {
        writer.push(Level::Info, ordinary.as_bytes());
    }
    writer.push(Level::Warn, b"event=store_lost reason=gone\n");
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
    sink.open();
    writer.shutdown();
    let text = sink.text();
    assert!(text.contains("event=store_lost"), "kept");
    let is_report = |line: &&str| line.contains("event=log_dropped");
    assert!(
        text.lines()
            .filter(is_report)
            .all(|line| line.starts_with("time="))
    );
    let written = text
        .lines()
        .filter(|line| line.contains("request_ended"))
        .count();
    assert_eq!(written + dropped_lines(&text).sum::<usize>(), 5_000);
    assert!(text.len() < 600 * 1024, "bounded: {}", text.len());
}

#[test]
fn whole_lines_come_in_order() {
    let sink = BlockingSink::default();
    sink.open();
    let writer = BoundedWriter::new(sink.clone());
    for number in 0..100 {
        writer.push(Level::Info, format!("event=n number={number}\n").as_bytes());
    }
    writer.shutdown();
    let text = sink.text();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 100);
    for (number, line) in lines.iter().enumerate() {
        assert_eq!(*line, format!("event=n number={number}"));
    }
}
