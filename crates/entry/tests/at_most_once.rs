//! What may be run again, and what callers are told about what ran.

mod deployment;

use {
    deployment::{Request, Vm, platform, runs_of},
    jasmine_platform_stand_in::{Behaviour, UpstreamStandIn},
};

fn all(
    upstreams: &[UpstreamStandIn],
    behaviour: &Behaviour,
) {
    for upstream in upstreams {
        upstream.usually(behaviour.clone());
    }
}

#[test]
fn a_lost_answer_is_not_run_again() {
    // An enrolment runs, and its answer is lost with the connection. Run once more it would wipe the phone a
    // second time; told that it has not run, its caller would do that itself.
    let (store, upstreams) = platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    for behaviour in [Behaviour::Reset, Behaviour::Truncate, Behaviour::Unsealed] {
        all(&upstreams, &behaviour);
        let request = Request::new("POST", "/write/").body(b"enrol");
        let answer = vm.ask(&request);
        assert_eq!(answer.status, 502, "{behaviour:?}");
        assert_eq!(answer.header("retry-after"), None, "{behaviour:?}");
        assert_eq!(runs_of(&upstreams, request.id()), 1, "{behaviour:?}");
    }
}

#[test]
fn a_failure_is_passed_on_as_it_is() {
    // The upstream ran the request and says that it failed. Its word, with its seal, is the answer.
    let (store, upstreams) = platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    all(&upstreams, &Behaviour::Fail);
    let request = Request::new("POST", "/write/").body(b"enrol");
    let answer = vm.ask(&request);
    assert_eq!((answer.status, answer.text().as_str()), (500, "failed"));
    assert_eq!(answer.header("x-server-seal").as_deref(), Some("seal"));
    assert_eq!(runs_of(&upstreams, request.id()), 1);
}

#[test]
fn what_was_not_run_goes_elsewhere() {
    // One upstream is full and says that it has not run the request; another has taken over the address of one
    // that is gone. Either way the request is as good as new.
    let (store, upstreams) = platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    for behaviour in [Behaviour::Shed, Behaviour::Misdirected] {
        upstreams[0].next(behaviour.clone());
        upstreams[1].next(behaviour.clone());
        let request = Request::new("POST", "/write/").body(b"enrol");
        let answer = vm.ask(&request);
        assert!(
            matches!(answer.status, 200 | 503),
            "{behaviour:?}: {answer:?}"
        );
        let expected = usize::from(answer.status == 200);
        assert_eq!(runs_of(&upstreams, request.id()), expected, "{behaviour:?}");
    }
}

#[test]
fn a_refusal_is_true_and_has_a_time() {
    // All upstreams are full. The caller is told at once that nothing ran and when to come back.
    let (store, upstreams) = platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    all(&upstreams, &Behaviour::Shed);
    let request = Request::new("POST", "/write/").body(b"enrol");
    let began = std::time::Instant::now();
    let answer = vm.ask(&request);
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(began.elapsed().as_millis() < 1_000, "not held back");
    assert_eq!(runs_of(&upstreams, request.id()), 0);
}

#[test]
fn a_read_is_tried_at_another_upstream() {
    // One upstream fails its requests, breaks them off or says nothing. A read does no harm twice, so its caller
    // gets the other one's answer, whichever of them is tried first.
    for behaviour in [
        Behaviour::Fail,
        Behaviour::Reset,
        Behaviour::Truncate,
        Behaviour::Hang,
        Behaviour::Unsealed,
    ] {
        let (store, upstreams) = platform(&["s-bad", "s-good"]);
        let vm = Vm::start(&store);
        upstreams[0].usually(behaviour.clone());
        upstreams[1].usually(Behaviour::Answer(b"good".to_vec()));
        let mut asked = 0;
        while upstreams[0].ran().is_empty() {
            let request = Request::new("GET", "/read/");
            let answer = vm.ask(&request);
            assert_eq!(
                (answer.status, answer.text().as_str()),
                (200, "good"),
                "{behaviour:?}"
            );
            assert!(runs_of(&upstreams, request.id()) <= 2, "{behaviour:?}");
            asked += 1;
            assert!(asked < 50, "{behaviour:?}: the bad one is never tried");
            upstreams[1].usually(Behaviour::Slow(std::time::Duration::from_millis(60)));
            drop(vm.ask(&Request::new("GET", "/read/")));
            upstreams[1].usually(Behaviour::Answer(b"good".to_vec()));
        }
    }
}

#[test]
fn a_read_has_its_share_of_attempts() {
    // Every upstream fails. The route allows two, so two run it, and the caller gets the word of one of them.
    let (store, upstreams) = platform(&["s-1", "s-2", "s-3"]);
    let vm = Vm::start(&store);
    all(&upstreams, &Behaviour::Fail);
    let request = Request::new("GET", "/read/");
    assert_eq!(vm.ask(&request).status, 500);
    assert_eq!(runs_of(&upstreams, request.id()), 2);
}
