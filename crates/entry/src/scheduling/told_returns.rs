use {
    super::{JobSpec, PromiseSpec},
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
    },
    std::collections::VecDeque,
};

/// Return times remembered at most; 512 take some 20 KB in `hello`.
const MAX_TOLD: usize = 512;

/// The return times that this VM has passed on to refused callers and that are not past.
#[derive(Debug, Default)]
pub struct ToldReturns {
    told: VecDeque<ToldReturn>,
}

#[derive(Debug)]
struct ToldReturn {
    due: Millis,
    spec: PromiseSpec,
}

impl ToldReturns {
    /// Remembers the return time in a refusal, if there is one.
    pub fn note(
        &mut self,
        spec: &JobSpec,
        refusal: &Refusal,
        now: Millis,
    ) {
        let Some(delay) = refusal
            .retry_after
            .filter(|_| refusal.kind == ErrorKind::CannotMeetDeadline)
        else {
            return;
        };
        self.told.retain(|told| told.due > now);
        if self.told.len() >= MAX_TOLD {
            self.told.pop_front();
        }
        let generation = spec.generation.as_ref();
        self.told.push_back(ToldReturn {
            due: now + delay,
            spec: PromiseSpec {
                caller: spec.caller,
                service: spec.service.clone(),
                priority: spec.priority,
                due_in: delay,
                work: generation.map_or(1.0, |generation| f64::from(generation.size.prompt)),
            },
        });
    }

    /// Those that are not past, with the time left until each.
    pub fn pending(
        &self,
        now: Millis,
    ) -> Vec<PromiseSpec> {
        let pending = self.told.iter().filter(|told| told.due > now);
        pending
            .map(|told| PromiseSpec {
                due_in: told.due.since(now),
                ..told.spec.clone()
            })
            .collect()
    }
}
