//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines with the time since the start in seconds.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates `record.txt` in the folder that `CASE_DIR` names.
    pub fn create() -> Self {
        let dir = std::env::var_os("CASE_DIR").map_or_else(|| ".".into(), PathBuf::from);
        let file = File::create(dir.join("record.txt")).expect("the record can be written");
        Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    /// Adds a line.
    pub fn line(
        &self,
        text: &str,
    ) {
        let mut file = self.file.lock().unwrap();
        let _full_disk = writeln!(file, "{:8.3} {text}", self.began.elapsed().as_secs_f64());
    }

    /// Adds a line, and prints it.
    pub fn say(
        &self,
        text: &str,
    ) {
        println!("{text}");
        self.line(text);
    }

    /// Writes what is buffered.
    pub fn flush(&self) {
        let _full_disk = self.file.lock().unwrap().flush();
    }
}
