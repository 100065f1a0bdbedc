//! Calls of a plain service that is nearly full: how many of them are answered in time.

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

/// What a call takes once it has a slot.
const WORK: Millis = Millis(60);
/// From the end of a call at its upstream until the scheduler knows, and from its word until the next one is there.
const NOTICE: Millis = Millis(8);
const ON_THE_WAY: Millis = Millis(3);
const SLOTS: usize = 6;

/// A server that runs six calls at a time and keeps the others in line.
#[derive(Default)]
struct Server {
    line: VecDeque<(Millis, u64)>,
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
            && self.line.front().is_some_and(|&(at, _)| at <= now)
            && let Some((_, number)) = self.line.pop_front()
        {
            self.running.push((now + WORK, number));
        }
        ended
    }
}

/// Plays six seconds of 190 calls a second to two servers that can do 200; calls answered within their 300 ms, and
/// all.
fn play_nearly_full() -> (usize, usize) {
    let mut world = World::leading(0);
    let mut servers = [Server::default(), Server::default()];
    for id in 0..2 {
        world.add_server(UpstreamId(id));
    }
    let begin = world.now;
    let mut asked: Vec<(u64, Millis, bool)> = Vec::new();
    let mut notices: VecDeque<(Millis, u64)> = VecDeque::new();
    let mut timely = 0;
    while world.now < begin + Millis(6_000) {
        let now = world.now;
        let due = (now.since(begin).0 * 190 / 1_000) as usize;
        while asked.len() < due {
            let job = Job {
                objective: now + Millis(300),
                gap_objective: None,
                deadline: now + Millis(3_000),
                ..call(now)
            };
            asked.push((world.place(job), now, false));
        }
        for (number, _, is_sent) in asked.iter_mut().filter(|(.., is_sent)| !is_sent) {
            if let Some(UpstreamId(id)) = world.sent_to(*number) {
                *is_sent = true;
                let line = &mut servers[id as usize].line;
                line.push_back((now + ON_THE_WAY, *number));
            }
        }
        for server in &mut servers {
            for (_, number) in server.step(now) {
                let asked_at = asked.iter().find(|(known, ..)| *known == number);
                let took = asked_at.map(|&(_, at, _)| now.since(at));
                timely += usize::from(took.is_some_and(|took| took <= Millis(300)));
                notices.push_back((now + NOTICE, number));
            }
        }
        while let Some(&(at, number)) = notices.front()
            && at <= now
        {
            notices.pop_front();
            world.end(number, Outcome::Answered { took: WORK });
        }
        world.pass(1);
    }
    (timely, asked.len())
}

#[test]
fn a_nearly_full_service_keeps_its_slots_busy() {
    // Somebody enrolls a phone while the only two servers left have nearly as much to do as they can. Each slot that
    // falls free stands idle until its end is known, the next call is chosen and has arrived; then the service can't
    // do what comes, everybody waits in line, and most calls are late though the servers could have done all.
    let (timely, asked) = play_nearly_full();
    println!("{timely} of {asked} in time");
    assert!(timely * 100 >= asked * 90, "{timely} of {asked} in time");
}
