//! Choice of the route and service of a request, and limits on its attempts.

use {
    jasmine_core::{
        clock::Millis,
        forward::{AttemptEnd, Attempts, Repeat},
        ingress::{CallKind, IngressRoute, RouteTable, WeightedService, allowed_data_centres},
    },
    std::collections::BTreeMap,
};

fn route(
    name: &str,
    prefix: &str,
) -> IngressRoute {
    IngressRoute {
        name: name.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        kind: CallKind::Idempotent,
        timeout: Millis(800),
        objective: Millis(150),
        gap_objective: None,
        priority: 1,
        attempts: 2,
        is_public: false,
        allowed_regions: Vec::new(),
        services: vec![
            WeightedService {
                service: "x".into(),
                weight: 90,
            },
            WeightedService {
                service: "y".into(),
                weight: 10,
            },
        ],
    }
}

#[test]
fn the_longest_prefix_wins() {
    let table = RouteTable::new([route("root", "/"), route("a", "/a/"), route("ab", "/a/b/")]);
    let found = |target: &str| {
        table
            .find("a.example", target)
            .map(|route| route.name.clone())
    };
    assert_eq!(found("/a/b/c").as_deref(), Some("ab"));
    assert_eq!(found("/a/bc").as_deref(), Some("a"));
    assert_eq!(
        found("/a/b").as_deref(),
        Some("a"),
        "a prefix ends with a slash"
    );
    assert_eq!(
        found("/x?/a/b/").as_deref(),
        Some("root"),
        "the query is not part of the path"
    );
    assert!(table.find("b.example", "/a/").is_none());
    assert_eq!(table.len(), 3);
}

#[test]
fn a_split_follows_its_weights() {
    let route = route("a", "/a/");
    let first = (0..1_000)
        .filter(|&hash| route.service_for(hash) == Some("x"))
        .count();
    assert_eq!(first, 900);
    let none = IngressRoute {
        services: Vec::new(),
        ..route
    };
    assert_eq!(none.service_for(7), None);
}

#[test]
fn a_non_idempotent_request_runs_at_most_once() {
    // A request that is not idempotent must not be retried once it may have run.
    let mut once = Attempts::new(Repeat::Once, 1);
    assert!(once.record_end(AttemptEnd::NotRun));
    assert!(once.record_end(AttemptEnd::NotRun));
    assert!(!once.record_end(AttemptEnd::MayHaveRun));
    assert!(once.may_have_run());
    assert!(
        !once.record_end(AttemptEnd::NotRun),
        "no retry after it may have run"
    );
}

#[test]
fn a_route_limits_the_number_of_runs() {
    let mut twice = Attempts::new(Repeat::Idempotent, 2);
    assert!(twice.record_end(AttemptEnd::MayHaveRun));
    assert!(twice.record_end(AttemptEnd::NotRun));
    assert_eq!(twice.next_attempt(), 3);
    assert!(!twice.record_end(AttemptEnd::MayHaveRun));
    let mut refused = Attempts::new(Repeat::Idempotent, 2);
    let tries = (0..10)
        .take_while(|_| refused.record_end(AttemptEnd::NotRun))
        .count();
    assert_eq!(tries, 3, "attempts without a run are limited");
}

#[test]
fn both_lists_of_regions_bind() {
    // Guards against a request that leaves the regions of its route or of its account.
    let regions = BTreeMap::from([
        ("a".to_owned(), "east".to_owned()),
        ("b".to_owned(), "east".to_owned()),
        ("c".to_owned(), "west".to_owned()),
    ]);
    let list = |names: &[&str]| -> Vec<String> { names.iter().map(|&n| n.to_owned()).collect() };
    let allowed = |route: &[&str], account: &[&str]| {
        let (route, account) = (list(route), list(account));
        let allowed = allowed_data_centres(&[&route, &account], &regions);
        allowed.map(|names| names.join(","))
    };
    assert_eq!(allowed(&[], &[]), None);
    assert_eq!(allowed(&["east"], &[]).as_deref(), Some("a,b"));
    assert_eq!(allowed(&[], &["west"]).as_deref(), Some("c"));
    assert_eq!(allowed(&["east", "west"], &["west"]).as_deref(), Some("c"));
    assert_eq!(allowed(&["east"], &["west"]).as_deref(), Some(""));
}
