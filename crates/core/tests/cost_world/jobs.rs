use {
    super::super::scheduler_world::{call, generation},
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, RouteId},
        ingress::PromptSize,
        scheduler::{Job, Work},
    },
};

/// Prompt and stated maximum of a generation, in tokens.
pub const SIZE: PromptSize = PromptSize {
    prompt: 600,
    output: 1_536,
};

/// A call of an account.
pub fn account_call(
    account: u32,
    now: Millis,
) -> Job {
    Job {
        account: Some(AccountId(account)),
        route: Some(RouteId(0)),
        objective: now + Millis(2_000),
        deadline: now + Millis(30_000),
        ..call(now)
    }
}

/// A generation of an adapter.
pub fn adapter_generation(
    adapter: u32,
    now: Millis,
) -> Job {
    let job = generation(adapter, now);
    let Work::Generation(mut generation) = job.work else {
        return job;
    };
    generation.size = SIZE;
    generation.parts.clear();
    Job {
        route: Some(RouteId(0)),
        objective: now + Millis(2_000),
        deadline: now + Millis(30_000),
        work: Work::Generation(generation),
        ..job
    }
}
