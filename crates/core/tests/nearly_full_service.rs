//! Calls to a plain service near and beyond its capacity: the share that is answered in time.

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

/// Service times of calls once they have a slot, in turn; 60 ms in the mean.
const SERVICE_TIMES: [u64; 8] = [40, 95, 35, 60, 45, 110, 50, 45];
/// Delay from the end of a call at its upstream until the scheduler is told.
const END_NOTICE_DELAY: Millis = Millis(8);
/// The same where the scheduler is behind with its messages.
const LATE_NOTICE_DELAY: Millis = Millis(60);
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
            let time = SERVICE_TIMES[number as usize % SERVICE_TIMES.len()];
            self.running.push((now + Millis(time), number));
        }
        ended
    }
}

/// Simulates six seconds of calls to two servers with a capacity of 200 per second; returns the
/// number of calls that met their objective of 300 ms, and of all calls.
fn simulate_service(
    calls_per_s: u64,
    notice_delay: Millis,
) -> (usize, usize) {
    let mut world = World::leading(0);
    let mut servers = [Server::default(), Server::default()];
    for id in 0..2 {
        world.add_server(UpstreamId(id));
    }
    let begin = world.now;
    let mut calls: Vec<(u64, Millis, Option<Millis>)> = Vec::new();
    let mut end_notices: VecDeque<(Millis, u64, Millis)> = VecDeque::new();
    let mut on_time = 0;
    while world.now < begin + Millis(6_000) {
        let now = world.now;
        let due = (now.since(begin).0 * calls_per_s / 1_000) as usize;
        while calls.len() < due {
            let job = Job {
                objective: now + Millis(300),
                gap_objective: None,
                deadline: now + Millis(3_000),
                ..call(now)
            };
            calls.push((world.place(job), now, None));
        }
        for (number, _, sent_at) in calls.iter_mut().filter(|(.., sent_at)| sent_at.is_none()) {
            if let Some(UpstreamId(id)) = world.sent_to(*number) {
                *sent_at = Some(now);
                let queue = &mut servers[id as usize].queue;
                queue.push_back((now + DISPATCH_DELAY, *number));
            }
        }
        for server in &mut servers {
            for (_, number) in server.step(now) {
                let sent_call = calls.iter().find(|(known, ..)| *known == number);
                let (_, arrived, sent_at) = *sent_call.expect("the call was sent");
                on_time += usize::from(now.since(arrived) <= Millis(300));
                let took = now.since(sent_at.unwrap_or(now));
                end_notices.push_back((now + notice_delay, number, took));
            }
        }
        while let Some(&(at, number, took)) = end_notices.front()
            && at <= now
        {
            end_notices.pop_front();
            world.end(number, Outcome::Answered { took });
        }
        world.advance(1);
    }
    (on_time, calls.len())
}

#[test]
fn a_nearly_full_service_keeps_its_slots_busy() {
    // Guards against slots that idle between the end of a call and the arrival of the next one,
    // which makes a service near its capacity miss most objectives.
    let (on_time, calls) = simulate_service(190, END_NOTICE_DELAY);
    println!("{on_time} of {calls} in time");
    assert!(on_time * 100 >= calls * 90, "{on_time} of {calls} in time");
}

#[test]
fn an_overloaded_service_serves_calls_in_time() {
    // Guards against an order of service in which each call is sent just too late for its
    // objective, so that an overloaded service answers hardly any in time.
    let (on_time, calls) = simulate_service(300, END_NOTICE_DELAY);
    println!("{on_time} of {calls} in time");
    // Two thirds of the calls is all that the servers can run.
    assert!(on_time * 100 >= calls * 55, "{on_time} of {calls} in time");
}

#[test]
fn a_late_scheduler_keeps_slots_busy() {
    // Guards against a scheduler that is behind and leaves the slots idle of whose ends it learns late.
    let (on_time, calls) = simulate_service(190, LATE_NOTICE_DELAY);
    println!("{on_time} of {calls} in time");
    assert!(on_time * 100 >= calls * 85, "{on_time} of {calls} in time");
}
