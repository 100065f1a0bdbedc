use {
    jasmine_testkit::harness::binaries_dir,
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    serde_json::Value,
    std::{
        io::{BufRead, BufReader, Write},
        process::{Child, ChildStdin, ChildStdout, Command, Stdio},
    },
};

/// A request that an upstream has read.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The Unix time in milliseconds.
    pub at: u64,
    pub id: String,
    /// The time that it was given, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// What reached an upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamReport {
    /// All requests that it has read.
    pub arrivals: Vec<Arrival>,
    /// The ids of those that it has executed.
    pub executed: Vec<String>,
}

/// An upstream that runs as a process of its own, and can be suspended.
pub struct UpstreamProcess {
    child: Child,
    commands: ChildStdin,
    output: BufReader<ChildStdout>,
    /// The key of its entry in the store.
    pub key: String,
    pub entry: Value,
}

impl UpstreamProcess {
    /// Starts an upstream of a kind that `jasmine-upstream` knows.
    pub fn start(
        kind: &str,
        id: &str,
        service: &str,
        data_centre: &str,
        build: &str,
    ) -> Self {
        let program = binaries_dir().unwrap().join("jasmine-upstream");
        let mut child = Command::new(program)
            .args([kind, id, service, data_centre, build])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut upstream = Self {
            commands: child.stdin.take().unwrap(),
            output: BufReader::new(child.stdout.take().unwrap()),
            child,
            key: String::new(),
            entry: Value::Null,
        };
        upstream.key = upstream.read_line();
        upstream.entry = serde_json::from_str(&upstream.read_line()).unwrap();
        upstream
    }

    /// Suspends it: connections to it are still accepted, and nothing is answered.
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes it with what it has received meanwhile.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Sets how it answers.
    pub fn command(
        &mut self,
        line: &str,
    ) {
        writeln!(self.commands, "{line}").unwrap();
    }

    /// What has reached it so far.
    pub fn report(&mut self) -> UpstreamReport {
        self.command("report");
        let report: Value = serde_json::from_str(&self.read_line()).unwrap();
        let id = |value: &Value| value.as_str().unwrap().to_owned();
        let arrivals = report["arrivals"].as_array().unwrap().iter();
        let executed = report["executed"].as_array().unwrap().iter();
        UpstreamReport {
            arrivals: arrivals
                .map(|it| Arrival {
                    at: it[0].as_u64().unwrap(),
                    id: id(&it[1]),
                    deadline_ms: it[2].as_u64(),
                })
                .collect(),
            executed: executed.map(id).collect(),
        }
    }

    fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.output.read_line(&mut line).unwrap();
        line.trim_end().to_owned()
    }

    fn signal(
        &self,
        signal: Signal,
    ) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }
}

impl Drop for UpstreamProcess {
    fn drop(&mut self) {
        // Both fail only if the process has already exited.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
