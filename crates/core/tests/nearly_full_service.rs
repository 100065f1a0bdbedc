//! Calls to a plain service near its capacity: the share that is answered in time.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        ids::UpstreamId,
        scheduler::{Job, Outcome},
    },
    scheduler_world::{World, call},
    std::collections::VecDeque,
};

/// Service time of a call once it has a slot.
const SERVICE_TIME: Millis = Millis(60);
/// Delay from the end of a call at its upstream until the scheduler is told.
const END_NOTICE_DELAY: Millis = Millis(8);
/// Delay from an assignment until the call arrives at its upstream.
const DISPATCH_DELAY: Millis = Millis(3);
const SLOTS: usize = 6;

/// A server that runs [`SLOTS`] calls at a time and queues the others.
#[derive(Default)]
struct Server {
    queue: VecDeque<(Millis, u64)>,
    running: Vec<(Millis, u64)>,
}

impl Server {
    fn step(
        &mut self,
        now: Millis,
    ) -> Vec<(Millis, u64)> {
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|&(end, _)| end <= now);
        self.running = running;
        while self.running.len() < SLOTS
            && self.queue.front().is_some_and(|&(at, _)| at <= now)
            && let Some((_, number)) = self.queue.pop_front()
        {
            self.running.push((now + SERVICE_TIME, number));
        }
        ended
    }
}

/// Simulates six seconds of 190 calls per second to two servers with a capacity of 200; returns the
/// number of calls that met their objective of 300 ms, and of all calls.
fn simulate_nearly_full_service() -> (usize, usize) {
    let mut world = World::leading(0);
    let mut servers = [Server::default(), Server::default()];
    for id in 0..2 {
        world.add_server(UpstreamId(id));
    }
    let begin = world.now;
    let mut calls: Vec<(u64, Millis, bool)> = Vec::new();
    let mut end_notices: VecDeque<(Millis, u64)> = VecDeque::new();
    let mut on_time = 0;
    while world.now < begin + Millis(6_000) {
        let now = world.now;
        let due = (now.since(begin).0 * 190 / 1_000) as usize;
        while calls.len() < due {
            let job = Job {
                objective: now + Millis(300),
                gap_objective: None,
                deadline: now + Millis(3_000),
                ..call(now)
            };
            calls.push((world.place(job), now, false));
        }
        for (number, _, is_sent) in calls.iter_mut().filter(|(.., is_sent)| !is_sent) {
            if let Some(UpstreamId(id)) = world.sent_to(*number) {
                *is_sent = true;
                let queue = &mut servers[id as usize].queue;
                queue.push_back((now + DISPATCH_DELAY, *number));
            }
        }
        for server in &mut servers {
            for (_, number) in server.step(now) {
                let sent_call = calls.iter().find(|(known, ..)| *known == number);
                let took = sent_call.map(|&(_, at, _)| now.since(at));
                on_time += usize::from(took.is_some_and(|took| took <= Millis(300)));
                end_notices.push_back((now + END_NOTICE_DELAY, number));
            }
        }
        while let Some(&(at, number)) = end_notices.front()
            && at <= now
        {
            end_notices.pop_front();
            world.end(number, Outcome::Answered { took: SERVICE_TIME });
        }
        world.advance(1);
    }
    (on_time, calls.len())
}

#[test]
fn a_nearly_full_service_keeps_its_slots_busy() {
    // Guards against slots that idle between the end of a call and the arrival of the next one,
    // which makes a service near its capacity miss most objectives.
    let (on_time, calls) = simulate_nearly_full_service();
    println!("{on_time} of {calls} in time");
    assert!(on_time * 100 >= calls * 90, "{on_time} of {calls} in time");
}
