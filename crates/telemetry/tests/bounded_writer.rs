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
struct Gate {
    state: Arc<Mutex<State>>,
    opened: Arc<Condvar>,
}

impl Gate {
    fn open(&self) {
        self.state.lock().unwrap().is_open = true;
        self.opened.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.state.lock().unwrap().bytes.clone()).unwrap()
    }
}

impl Write for Gate {
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

#[test]
fn a_reader_that_sleeps_blocks_nobody() {
    // Guards against a stalled log reader blocking the daemon, and against losing warnings or the number of
    // dropped lines.
    let gate = Gate::default();
    let writer = BoundedWriter::new(gate.clone());
    let began = Instant::now();
    let ordinary = format!("event=request_ended {}\n", "x".repeat(200));
    for _ in 0..5_000 {
        writer.take(Level::Info, ordinary.as_bytes());
    }
    writer.take(Level::Warn, b"event=store_lost reason=gone\n");
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "{:?}",
        began.elapsed()
    );
    gate.open();
    writer.shutdown();
    let text = gate.text();
    assert!(text.contains("event=store_lost"), "kept");
    let told = text.lines().find(|line| line.contains("event=log_dropped"));
    let dropped: usize = told
        .and_then(|line| line.split("lines=").nth(1))
        .expect("the number of dropped lines is logged")
        .parse()
        .unwrap();
    let written = text
        .lines()
        .filter(|line| line.contains("request_ended"))
        .count();
    assert_eq!(written + dropped, 5_000);
    assert!(text.len() < 600 * 1024, "bounded: {}", text.len());
}

#[test]
fn whole_lines_come_in_order() {
    let gate = Gate::default();
    gate.open();
    let writer = BoundedWriter::new(gate.clone());
    for number in 0..100 {
        writer.take(Level::Info, format!("event=n number={number}\n").as_bytes());
    }
    writer.shutdown();
    let text = gate.text();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 100);
    for (number, line) in lines.iter().enumerate() {
        assert_eq!(*line, format!("event=n number={number}"));
    }
}
