use {
    super::{CHANGE_INTERVAL, Change, PACES},
    jasmine_core::load_reports::{LoadReport, Pace},
    rand::Rng,
    rand_chacha::ChaCha8Rng,
    std::collections::VecDeque,
};

/// Work that each answer being written adds to the reading of a prompt, in milliseconds at the usual pace.
const PER_ANSWER_MS: f64 = 0.4;

/// A request at a machine, with the work that is left at the usual pace, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    pub number: usize,
    pub work: f64,
}

/// An upstream whose pace changes: it runs as many requests as it has slots, in the order of their arrival.
pub struct Machine {
    /// Its mean pace, in percent.
    own: f64,
    pub pace: f64,
    next_change: u64,
    slots: usize,
    /// Requests on their way, with the time of their arrival.
    coming: VecDeque<(u64, Task)>,
    queue: VecDeque<Task>,
    running: Vec<Task>,
    /// Generations that write their answers.
    pub writing: Vec<Task>,
}

impl Machine {
    pub fn new(
        own: f64,
        slots: usize,
        next_change: u64,
    ) -> Self {
        Self {
            own,
            pace: own,
            next_change,
            slots,
            coming: VecDeque::new(),
            queue: VecDeque::new(),
            running: Vec::new(),
            writing: Vec::new(),
        }
    }

    pub fn send(
        &mut self,
        task: Task,
        arrives_at: u64,
    ) {
        self.coming.push_back((arrives_at, task));
    }

    /// Works for a millisecond; returns the requests that have their response, and the answers that are written.
    pub fn step(
        &mut self,
        change: Change,
        now: u64,
        rng: &mut ChaCha8Rng,
    ) -> (Vec<usize>, Vec<usize>) {
        if now >= self.next_change {
            self.next_change = now + CHANGE_INTERVAL;
            self.pace = match change {
                Change::AroundOwn => self.own * rng.random_range(0.7..1.3),
                Change::AmongAll => PACES[rng.random_range(0..PACES.len())],
            };
        }
        while self.coming.front().is_some_and(|&(at, _)| at <= now)
            && let Some((_, task)) = self.coming.pop_front()
        {
            self.queue.push_back(task);
        }
        while self.running.len() < self.slots
            && let Some(task) = self.queue.pop_front()
        {
            let work = task.work + self.delay_ms();
            self.running.push(Task { work, ..task });
        }
        let done = 100.0 / self.pace;
        (
            advance(&mut self.running, done),
            advance(&mut self.writing, done),
        )
    }

    /// Delay by the answers that are being written.
    fn delay_ms(&self) -> f64 {
        self.writing.len() as f64 * PER_ANSWER_MS
    }

    /// Time until a new request would have its response, at the present pace.
    pub fn finish_ms(
        &self,
        work: f64,
    ) -> f64 {
        let mut slots: Vec<f64> = self.running.iter().map(|task| task.work).collect();
        slots.resize(self.slots.max(slots.len()), 0.0);
        let coming = self.coming.iter().map(|(_, task)| task);
        let ahead = self.queue.iter().chain(coming).map(|task| task.work);
        let mut finish = 0.0;
        for work in ahead.chain([work]) {
            let first = (0..slots.len()).min_by(|&a, &b| slots[a].total_cmp(&slots[b]));
            let first = first.expect("a machine has slots");
            slots[first] += work + self.delay_ms();
            finish = slots[first];
        }
        finish * self.pace / 100.0
    }

    pub fn report(
        &self,
        pace: u32,
    ) -> LoadReport {
        LoadReport {
            running: (self.running.len() + self.writing.len()) as u32,
            waiting: self.queue.len() as u32,
            slots: None,
            pace: Pace::from_percent(pace),
        }
    }
}

/// Takes `done` off the work of each task; returns those that end.
fn advance(
    tasks: &mut Vec<Task>,
    done: f64,
) -> Vec<usize> {
    for task in tasks.iter_mut() {
        task.work -= done;
    }
    let ended = tasks.iter().filter(|task| task.work <= 0.0);
    let ended = ended.map(|task| task.number).collect();
    tasks.retain(|task| task.work > 0.0);
    ended
}
