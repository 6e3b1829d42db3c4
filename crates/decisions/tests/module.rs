//! The decision module with hand-made events: the design's ordinary path, the six rules, and one test for
//! each failure found, named for the danger.

use cottonhill_decisions::Coordinator;
use cottonhill_decisions::{
    Action, Class, DiscoveryMode, Endpoint, EndpointStatus, EndpointUpdateKind, Event, Idempotency,
    Outcome, ReplicaId, RetryBudget, Settings,
};

const MS: u64 = 1_000_000;
const START: u64 = 100_000 * MS;

fn class(aim: u64, floor: f64) -> Class {
    Class {
        latency_objective: aim * MS,
        deadline: 3 * aim * MS,
        completeness_threshold: 1.0,
        minimum_coverage: floor,
        partial_answer_value: 0.9,
        ..Class::default()
    }
}

fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        classes,
        cells: 1,
        replication_factor: 1,
        max_parts_per_call: Some(16),
        fleet_size: 2,
        batch_interval: 5 * MS,
        max_attempts: Some(4),
        cancellation_enabled: true,
        hedging_enabled: true,
        max_retry_after: 1000 * MS,
        ..Settings::default()
    }
}

/// One class that needs every part, and clients that mark their repeats.
fn marked() -> Settings {
    Settings {
        client_retries_marked: true,
        ..settings(vec![class(2000, 1.0)])
    }
}

fn member(replica: u64) -> Endpoint {
    Endpoint {
        replica: ReplicaId(replica),
        cell: 0,
        zone: 0,
        started: 0,
        status: EndpointStatus::Ready,
    }
}

/// One co-ordinator with the actions of its last batch.
struct Bed {
    module: Coordinator,
    now: u64,
    next: u64,
}

impl Bed {
    fn new(settings: Settings, replicas: u64) -> Bed {
        let mut bed = Bed {
            module: Coordinator::new(settings, 7),
            now: START,
            next: 1,
        };
        bed.list(
            EndpointUpdateKind::CachedSnapshot,
            (1..=replicas).map(member).collect(),
        );
        bed
    }

    fn at(&mut self, ms: u64, events: &[Event]) -> Vec<Action> {
        self.now = START + ms * MS;
        let mut actions = Vec::new();
        self.module.process_batch(self.now, events, &mut actions);
        actions
    }

    fn list(&mut self, kind: EndpointUpdateKind, endpoints: Vec<Endpoint>) {
        let ms = (self.now - START) / MS;
        self.at(ms, &[Event::EndpointsUpdated { kind, endpoints }]);
    }

    /// A query of class 0 with parts of these weights, at shards 0, 1, ...; its id and the actions. The
    /// parts' ids follow the query's.
    fn query(&mut self, ms: u64, class: u16, weights: &[f64]) -> (u64, Vec<Action>) {
        let client_timeout = 6000 * MS;
        self.query_with_patience(ms, class, weights, client_timeout)
    }

    fn query_with_patience(
        &mut self,
        ms: u64,
        class: u16,
        weights: &[f64],
        client_timeout: u64,
    ) -> (u64, Vec<Action>) {
        self.ask(ms, class, weights, client_timeout, false)
    }

    fn ask(
        &mut self,
        ms: u64,
        class: u16,
        weights: &[f64],
        client_timeout: u64,
        client_retry: bool,
    ) -> (u64, Vec<Action>) {
        let (id, group) = (self.next * 100, self.next as u32);
        self.next += 1;
        let mut events = vec![Event::QueryReceived {
            id,
            group,
            class,
            tenant: 0,
            client_timeout,
            network_delay: 0,
            work: None,
            client_retry,
        }];
        for (i, weight) in weights.iter().enumerate() {
            events.push(Event::PartReceived {
                id: id + 1 + i as u64,
                group,
                shard: i as u32,
                weight: *weight,
            });
        }
        (id, self.at(ms, &events))
    }

    fn end(
        &mut self,
        ms: u64,
        part: u64,
        attempt: u8,
        replica: ReplicaId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.at(ms, &[ended(part, attempt, replica, outcome)])
    }

    fn tick(&mut self, ms: u64) -> Vec<Action> {
        self.at(ms, &[Event::TimerFired { token: 0 }])
    }

    /// Ticks every 10 ms from one time to another and gathers what is done.
    fn run(&mut self, from: u64, to: u64) -> Vec<Action> {
        (from / 10..=to / 10)
            .flat_map(|t| self.tick(t * 10))
            .collect()
    }

    /// A query of one part that is answered after `took` ms.
    fn served(&mut self, ms: u64, took: u64) -> ReplicaId {
        let (id, actions) = self.query(ms, 0, &[1.0]);
        let (_, replica) = sends(&actions)[0];
        self.end(ms + took, id + 1, 0, replica, Outcome::Ok);
        replica
    }
}

fn ended(part: u64, attempt: u8, replica: ReplicaId, outcome: Outcome) -> Event {
    Event::AttemptEnded {
        part,
        attempt,
        replica,
        outcome,
        report: vec![f32::NAN],
    }
}

/// The end of all these first attempts.
fn all_end(sent: &[(u64, ReplicaId)], outcome: Outcome) -> Vec<Event> {
    sent.iter()
        .map(|(part, replica)| ended(*part, 0, *replica, outcome))
        .collect()
}

/// What is sent, in order, as part and replica.
fn sends(actions: &[Action]) -> Vec<(u64, ReplicaId)> {
    let send = |a: &Action| match a {
        Action::Send { part, replica, .. } => Some((*part, *replica)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Final words on queries: "whole", "partial", "refused" or "failed".
fn finals(actions: &[Action]) -> Vec<&'static str> {
    let word = |a: &Action| match a {
        Action::Answer { complete: true, .. } => Some("whole"),
        Action::Answer {
            complete: false, ..
        } => Some("partial"),
        Action::Reject { .. } => Some("refused"),
        Action::Fail { .. } => Some("failed"),
        _ => None,
    };
    actions.iter().filter_map(word).collect()
}

fn logs(actions: &[Action], word: &str) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Log(text) if text.contains(word)))
}

#[test]
fn parts_of_one_query_share_a_call() {
    let mut bed = Bed::new(settings(vec![class(2000, 1.0)]), 3);
    let (_, actions) = bed.query(0, 0, &[0.25; 4]);
    let sent = sends(&actions);
    assert_eq!(sent.len(), 4);
    assert!(sent.iter().all(|(_, r)| *r == sent[0].1));
}

#[test]
fn parts_spread_where_calls_are_not_shared() {
    let mut alone = settings(vec![class(2000, 1.0)]);
    alone.max_parts_per_call = None;
    let mut bed = Bed::new(alone, 3);
    let (_, actions) = bed.query(0, 0, &[1.0 / 3.0; 3]);
    let used: std::collections::BTreeSet<_> = sends(&actions).into_iter().map(|(_, r)| r).collect();
    assert_eq!(used.len(), 3);
}

#[test]
fn least_latency_times_open_calls_plus_one_is_chosen() {
    let mut bed = Bed::new(settings(vec![class(2000, 1.0)]), 2);
    let slow = bed.served(0, 400);
    let fast = ReplicaId(3 - slow.0);
    let mut at = 500;
    for _ in 0..20 {
        let (id, actions) = bed.query(at, 0, &[1.0]);
        let (_, replica) = sends(&actions)[0];
        let took = if replica == fast { 100 } else { 450 };
        bed.end(at + took, id + 1, 0, replica, Outcome::Ok);
        at += 500;
    }
    let (_, first) = bed.query(at + 500, 0, &[1.0]);
    assert_eq!(sends(&first)[0].1, fast);
}

#[test]
fn same_events_give_the_same_actions() {
    let play = || {
        let mut bed = Bed::new(settings(vec![class(2000, 0.5)]), 5);
        let mut all = Vec::new();
        for i in 0..20 {
            all.extend(bed.query(i * 30, 0, &[0.4, 0.3, 0.3]).1);
        }
        all.extend(bed.run(600, 2500));
        all
    };
    assert_eq!(play(), play());
}

/// Ten queries whose parts all stay out until late: pressure.
fn press(bed: &mut Bed, class: u16, from: u64) {
    for i in 0..10 {
        bed.query(from + i, class, &[0.6, 0.3, 0.1]);
    }
    bed.run(from + 10, from + 1900);
}

#[test]
fn cutoff_rises_under_pressure_and_drops_the_lightest_part() {
    let mut bed = Bed::new(settings(vec![class(2000, 0.5), class(90_000, 0.5)]), 3);
    let (_, before) = bed.query(0, 1, &[0.6, 0.39, 0.01]);
    assert_eq!(sends(&before).len(), 3, "the cutoff rests at zero");
    let pressed: Vec<Action> = {
        for i in 0..10 {
            bed.query(10 + i, 0, &[0.6, 0.3, 0.1]);
        }
        bed.run(20, 1750)
    };
    assert!(logs(&pressed, "cutoff raised from zero"));
    let (id, after) = bed.query(1760, 1, &[0.6, 0.39, 0.01]);
    let own: Vec<u64> = sends(&after)
        .into_iter()
        .map(|(part, _)| part)
        .filter(|p| *p > id)
        .collect();
    assert_eq!(own, [id + 1, id + 2]);
}

#[test]
fn cutoff_never_goes_below_the_floor_nor_touches_whole_answers() {
    let mut bed = Bed::new(
        settings(vec![
            class(2000, 0.5),
            class(90_000, 0.995),
            class(90_000, 1.0),
        ]),
        3,
    );
    press(&mut bed, 0, 0);
    for class in [1, 2] {
        let (id, actions) = bed.query(1900 + u64::from(class) * 10, class, &[0.6, 0.39, 0.01]);
        let own: Vec<u64> = sends(&actions)
            .into_iter()
            .map(|(part, _)| part)
            .filter(|p| *p > id)
            .collect();
        assert_eq!(own, [id + 1, id + 2, id + 3]);
    }
}

/// Step by step it took seven seconds, in which light parts were left out that all could be served.
#[test]
fn cutoff_sinks_at_once_however_high_it_was() {
    let mut bed = Bed::new(settings(vec![class(2000, 0.5)]), 3);
    // Late at 1.6 and at 2.3 s: pressure until 3.3 s, two steps up.
    for from in [0, 700] {
        for i in 0..10 {
            bed.query(from + i, 0, &[0.6, 0.3, 0.1]);
        }
        bed.run(from + 10, from + 690);
    }
    let up = bed.run(1400, 3500);
    assert!(logs(&up, "cutoff raised from zero") && !logs(&up, "cutoff back"));
    bed.query(3510, 0, &[1.0]);
    let after: Vec<Action> = (36..=60).flat_map(|t| bed.tick(t * 100)).collect();
    assert!(
        logs(&after, "cutoff back at zero"),
        "by two seconds after the pressure"
    );
}

#[test]
fn cutoff_sinks_after_quiet_seconds() {
    let mut bed = Bed::new(settings(vec![class(2000, 0.5)]), 3);
    press(&mut bed, 0, 0);
    let (_, keep_alive) = bed.query(1950, 0, &[1.0]);
    assert!(!keep_alive.is_empty());
    let mut after = Vec::new();
    for t in 2..20 {
        after.extend(bed.tick(t * 1000));
    }
    assert!(logs(&after, "cutoff back at zero"));
}

#[test]
fn one_late_part_is_no_pressure() {
    let mut bed = Bed::new(settings(vec![class(2000, 0.5)]), 3);
    bed.query(0, 0, &[0.6, 0.3, 0.1]);
    let actions = bed.run(10, 1900);
    assert!(!logs(&actions, "cutoff raised from zero"));
}

#[test]
fn every_query_ends_once_and_before_the_deadline() {
    for late_worth in [0.0, 0.3] {
        let mut kind = class(2000, 1.0);
        kind.late_weight_fraction = late_worth;
        let mut bed = Bed::new(settings(vec![kind]), 3);
        bed.query(0, 0, &[0.5, 0.5]);
        let actions = bed.run(0, 7000);
        assert_eq!(finals(&actions), ["refused"]);
        let (_, last) = bed.query_with_patience(7000, 0, &[1.0], 1);
        assert_eq!(finals(&last).len(), 1, "no patience at all");
    }
}

#[test]
fn nothing_is_sent_for_a_query_whose_client_has_gone() {
    let mut bed = Bed::new(settings(vec![class(2000, 1.0)]), 3);
    let (id, actions) = bed.query(0, 0, &[1.0]);
    let (part, replica) = sends(&actions)[0];
    let lost = Event::AttemptEnded {
        part,
        attempt: 0,
        replica,
        outcome: Outcome::ConnectionReset,
        report: vec![],
    };
    let after = bed.at(50, &[lost, Event::ClientDisconnected { id }]);
    assert!(sends(&after).is_empty() && finals(&after).is_empty());
    let (id, _) = bed.query(60, 0, &[1.0]);
    let gone = bed.at(100, &[Event::ClientDisconnected { id }]);
    assert!(
        gone.contains(&Action::Cancel {
            part: id + 1,
            attempt: 0
        }),
        "its work is withdrawn"
    );
}

#[test]
fn a_part_counts_once_and_no_answer_goes_below_the_floor() {
    let mut bed = Bed::new(settings(vec![class(2000, 0.6)]), 3);
    let (id, actions) = bed.query(0, 0, &[0.5, 0.5]);
    let replica = sends(&actions)[0].1;
    bed.end(100, id + 1, 0, replica, Outcome::Ok);
    let again = bed.end(110, id + 1, 0, replica, Outcome::Ok);
    assert!(finals(&again).is_empty());
    assert_eq!(finals(&bed.run(120, 6000)), ["refused"]);
}

#[test]
fn partial_answer_leaves_just_before_the_aim() {
    let mut bed = Bed::new(settings(vec![class(2000, 0.6)]), 3);
    let (id, actions) = bed.query(0, 0, &[0.7, 0.3]);
    bed.end(100, id + 1, 0, sends(&actions)[0].1, Outcome::Ok);
    assert!(finals(&bed.run(110, 1900)).is_empty());
    assert_eq!(finals(&bed.run(1910, 1995)), ["partial"]);
}

#[test]
fn whole_answer_leaves_when_all_is_in_and_the_rest_is_withdrawn() {
    let mut kind = class(2000, 1.0);
    kind.completeness_threshold = 0.5;
    kind.minimum_coverage = 0.5;
    let mut bed = Bed::new(settings(vec![kind]), 3);
    let (id, actions) = bed.query(0, 0, &[0.5, 0.5]);
    let done = bed.end(100, id + 1, 0, sends(&actions)[0].1, Outcome::Ok);
    assert_eq!(finals(&done), ["whole"]);
    assert!(done.contains(&Action::Cancel {
        part: id + 2,
        attempt: 0
    }));
}

#[test]
fn second_step_is_whole_only_if_the_first_was() {
    for (landing, word) in [(2, "whole"), (1, "partial")] {
        let mut kind = class(2000, 0.4);
        kind.second_phase_parts = 1;
        let mut bed = Bed::new(settings(vec![kind]), 3);
        let (id, actions) = bed.query(0, 0, &[0.5, 0.5]);
        let replica = sends(&actions)[0].1;
        for part in 1..=landing {
            bed.end(100, id + part, 0, replica, Outcome::Ok);
        }
        let end = bed.run(110, 1000);
        assert!(
            landing == 2 || finals(&end) == ["partial"],
            "half of the aim is left for the second step"
        );
        let second = bed.at(
            1010,
            &[Event::PartReceived {
                id: id + 50,
                group: 1,
                shard: 0,
                weight: 1.0,
            }],
        );
        let (part, replica) = sends(&second)[0];
        assert_eq!(
            finals(&bed.end(1100, part, 0, replica, Outcome::Ok)),
            [word]
        );
    }
}

#[test]
fn a_query_of_two_steps_that_comes_right_before_its_target_is_refused() {
    let mut kind = class(2000, 0.4);
    kind.second_phase_parts = 1;
    let mut bed = Bed::new(settings(vec![kind]), 3);
    let (id, group, client_timeout, network_delay) = (100, 1, 3000 * MS, 1995 * MS);
    let query = Event::QueryReceived {
        id,
        group,
        class: 0,
        tenant: 0,
        client_timeout,
        network_delay,
        work: None,
        client_retry: false,
    };
    let parts = (1..=2).map(|i| Event::PartReceived {
        id: id + i,
        group,
        shard: i as u32,
        weight: 0.5,
    });
    let actions = bed.at(0, &[query].into_iter().chain(parts).collect::<Vec<_>>());
    let ends = [actions, bed.run(10, 3000)].concat();
    assert_eq!(finals(&ends), ["refused"], "no time is left to answer in");
}

#[test]
fn an_unsafe_part_that_may_have_run_is_neither_resent_nor_refused() {
    let mut kind = class(2000, 1.0);
    kind.idempotency = Idempotency::NonIdempotent;
    let mut bed = Bed::new(settings(vec![kind]), 3);
    let (id, actions) = bed.query(0, 0, &[1.0]);
    let replica = sends(&actions)[0].1;
    let again = bed.end(10, id + 1, 0, replica, Outcome::ConnectFailed);
    assert_eq!(sends(&again).len(), 1, "it never ran, so it may go again");
    let lost = bed.end(20, id + 1, 1, sends(&again)[0].1, Outcome::ConnectionReset);
    assert!(sends(&lost).is_empty());
    assert_eq!(finals(&lost), ["failed"]);
}

#[test]
fn a_keyed_part_is_resent_only_inside_its_window() {
    for (at, resent) in [(300, 1), (900, 0)] {
        let mut kind = class(2000, 1.0);
        kind.idempotency = Idempotency::IdempotencyKey;
        kind.idempotency_window = 500 * MS;
        let mut bed = Bed::new(
            Settings {
                hedging_enabled: false,
                ..settings(vec![kind])
            },
            3,
        );
        let (id, actions) = bed.query(0, 0, &[1.0]);
        let after = bed.end(
            at,
            id + 1,
            0,
            sends(&actions)[0].1,
            Outcome::ConnectionReset,
        );
        assert_eq!(sends(&after).len(), resent);
    }
}

#[test]
fn a_draining_replica_gets_nothing_new() {
    let mut bed = Bed::new(settings(vec![class(2000, 1.0)]), 2);
    let drains = Endpoint {
        status: EndpointStatus::Draining,
        ..member(1)
    };
    bed.list(EndpointUpdateKind::Delta, vec![drains]);
    for i in 0..20 {
        let (_, actions) = bed.query(i * 20, 0, &[1.0]);
        assert!(sends(&actions).iter().all(|(_, r)| *r == ReplicaId(2)));
    }
    bed.list(EndpointUpdateKind::Snapshot, vec![]);
    assert!(
        sends(&bed.query(500, 0, &[1.0]).1).is_empty(),
        "all have left the list"
    );
}

#[test]
fn the_budget_holds_up_to_the_edge_of_its_window() {
    let mut tight = settings(vec![class(2000, 1.0)]);
    tight.retry_budget = Some(RetryBudget {
        minimum: 1.0,
        ratio: 0.0,
        window: 1000 * MS,
    });
    let mut bed = Bed::new(tight, 3);
    let (first, actions) = bed.query(0, 0, &[1.0]);
    let spent = bed.end(10, first + 1, 0, sends(&actions)[0].1, Outcome::Error);
    assert_eq!(sends(&spent).len(), 1);
    bed.end(15, first + 1, 1, sends(&spent)[0].1, Outcome::Ok);
    let (second, actions) = bed.query(20, 0, &[1.0]);
    bed.end(30, second + 1, 0, sends(&actions)[0].1, Outcome::Error);
    let resent = |actions: &[Action]| {
        sends(actions)
            .iter()
            .filter(|(part, _)| *part == second + 1)
            .count()
    };
    assert_eq!(resent(&bed.run(40, 1010)), 0);
    assert_eq!(resent(&bed.run(1020, 1100)), 1);
}

#[test]
fn no_more_attempts_than_allowed() {
    let mut bed = Bed::new(
        Settings {
            max_attempts: Some(2),
            ..settings(vec![class(2000, 1.0)])
        },
        3,
    );
    let (id, mut actions) = bed.query(0, 0, &[1.0]);
    for attempt in 0..2 {
        let replica = sends(&actions)[0].1;
        actions = bed.end(
            10 + u64::from(attempt),
            id + 1,
            attempt,
            replica,
            Outcome::Error,
        );
    }
    assert!(sends(&actions).is_empty());
    assert_eq!(finals(&actions), ["refused"], "given up at once");
}

fn cold() -> Settings {
    let mut cold = settings(vec![class(2000, 1.0)]);
    cold.fleet_size = 1;
    cold.slow_start_initial_capacity = Some(0.2);
    cold.slow_start_duration = 10_000 * MS;
    cold.overload_multiple = Some(4.0);
    cold.overload_window = 1000 * MS;
    cold
}

#[test]
fn a_cold_replica_is_not_pushed_over_by_a_burst() {
    let mut bed = Bed::new(cold(), 0);
    bed.list(
        EndpointUpdateKind::Snapshot,
        vec![Endpoint {
            started: START - MS,
            ..member(1)
        }],
    );
    let burst: usize = (0..50)
        .map(|i| sends(&bed.query(i, 0, &[0.5, 0.5]).1).len())
        .sum();
    assert!(burst <= 3, "{burst} parts sent to a cold replica at once");
}

#[test]
fn slow_start_lets_go_as_time_passes() {
    let mut bed = Bed::new(cold(), 0);
    bed.list(
        EndpointUpdateKind::Snapshot,
        vec![Endpoint {
            started: START - MS,
            ..member(1)
        }],
    );
    let sent = |bed: &mut Bed, ms| sends(&bed.query(ms, 0, &[1.0]).1).len();
    assert_eq!(sent(&mut bed, 0), 1);
    assert_eq!(sent(&mut bed, 10), 0);
    assert!(
        !sends(&bed.run(1020, 1500)).is_empty(),
        "its allowance comes back without a further send"
    );
}

#[test]
fn a_silent_replica_is_late_now_and_another_is_asked() {
    let mut bed = Bed::new(settings(vec![class(2000, 1.0)]), 3);
    let (id, actions) = bed.query(0, 0, &[1.0]);
    let silent = sends(&actions)[0].1;
    let later = bed.run(10, 400);
    let copies = sends(&later);
    assert_eq!(copies.len(), 1);
    assert_ne!(copies[0].1, silent);
    assert!(logs(&later, "suspected"));
    for i in 0..10 {
        let (_, actions) = bed.query(410 + i, 0, &[1.0]);
        assert_ne!(sends(&actions)[0].1, silent);
    }
    let back = bed.end(950, id + 1, 0, silent, Outcome::Ok);
    assert_eq!(finals(&back)[0], "whole");
}

#[test]
fn the_least_bad_holder_is_used_when_all_are_silent() {
    let mut bed = Bed::new(settings(vec![class(2000, 1.0)]), 1);
    bed.query(0, 0, &[1.0]);
    bed.run(10, 900);
    assert_eq!(sends(&bed.query(910, 0, &[1.0]).1).len(), 1);
}

#[test]
fn copies_do_not_feed_a_jam_when_all_holders_are_slow() {
    let mut bed = Bed::new(settings(vec![class(2000, 1.0)]), 2);
    for i in 0..40 {
        bed.query(i * 5, 0, &[1.0]);
    }
    let copies = sends(&bed.run(210, 1900)).len();
    assert!(copies <= 8, "{copies} copies of 40 parts");
}

#[test]
fn a_query_that_cannot_make_its_aim_is_refused_at_once_with_advice() {
    let mut bed = Bed::new(settings(vec![class(2000, 1.0)]), 1);
    bed.served(0, 300);
    for i in 0..20 {
        bed.query(400 + i, 0, &[1.0]);
    }
    let (query, actions) = bed.query(450, 0, &[1.0]);
    assert!(actions.contains(&Action::Reject {
        query,
        retry_after: Some(1000 * MS)
    }));
    assert!(sends(&actions).is_empty());
}

#[test]
fn parts_of_a_swamped_shard_are_left_out_where_the_floor_allows() {
    let two_cells = Settings {
        cells: 2,
        ..settings(vec![class(2000, 0.5)])
    };
    let mut bed = Bed::new(two_cells, 0);
    bed.list(
        EndpointUpdateKind::Snapshot,
        vec![
            member(1),
            Endpoint {
                cell: 1,
                ..member(2)
            },
        ],
    );
    let hot = bed.query(0, 0, &[1.0]).0;
    bed.end(300, hot + 1, 0, ReplicaId(1), Outcome::Ok);
    for i in 0..20 {
        bed.query(400 + i, 0, &[1.0]);
    }
    let (id, actions) = bed.query(450, 0, &[0.4, 0.6]);
    assert_eq!(sends(&actions), [(id + 2, ReplicaId(2))]);
}

#[test]
fn a_repeat_whose_aim_has_passed_is_not_served_for_nothing() {
    let mut bed = Bed::new(settings(vec![class(2000, 1.0)]), 3);
    for i in 0..5 {
        bed.query_with_patience(i, 0, &[1.0], 6000 * MS);
    }
    let (_, late) = bed.query_with_patience(10, 0, &[1.0], 3000 * MS);
    assert_eq!(finals(&late), ["refused"]);
    let (_, early) = bed.query_with_patience(20, 0, &[1.0], 5000 * MS);
    assert_eq!(sends(&early).len(), 1);
}

#[test]
fn a_first_try_is_not_taken_for_a_repeat_when_a_repeat_shows_more_patience() {
    let mut bed = Bed::new(settings(vec![class(2000, 1.0)]), 3);
    bed.ask(0, 0, &[1.0], 5000 * MS, false);
    bed.ask(1, 0, &[1.0], 5900 * MS, true);
    bed.ask(2, 0, &[1.0], 5000 * MS, false);
    let answered = bed.run(10, 1850);
    assert!(
        finals(&answered).is_empty(),
        "none has been given up before its aim"
    );
}

#[test]
fn a_replica_that_turned_work_away_is_asked_last_for_a_moment() {
    let mut bed = Bed::new(settings(vec![class(2000, 1.0)]), 2);
    let (id, actions) = bed.query(0, 0, &[1.0]);
    let full = sends(&actions)[0].1;
    bed.end(1, id + 1, 0, full, Outcome::Rejected);
    for i in 0..10 {
        let (_, actions) = bed.query(10 + i, 0, &[1.0]);
        assert_ne!(sends(&actions)[0].1, full);
    }
}

#[test]
fn a_lost_part_is_asked_elsewhere_while_its_replica_answers_others() {
    let mut bed = Bed::new(settings(vec![class(2000, 1.0)]), 1);
    bed.served(0, 100);
    let (lost, _) = bed.query(200, 0, &[0.5, 0.5]);
    bed.list(EndpointUpdateKind::Delta, vec![member(2)]);
    bed.end(300, lost + 1, 0, ReplicaId(1), Outcome::Ok);
    let copies = sends(&bed.run(310, 900));
    assert_eq!(copies, [(lost + 2, ReplicaId(2))]);
    let (_, actions) = bed.query(910, 0, &[1.0]);
    assert_eq!(
        sends(&actions).len(),
        1,
        "the lost call stands in nobody's way"
    );
}

/// Breaks the connection to replica 1 and tells how many ms it rests. Replica 2 fails all that it gets.
fn rest_after_break(bed: &mut Bed) -> u64 {
    let mut broken = None;
    for _ in 0..400 {
        let ms = (bed.now - START) / MS + 50;
        let (id, actions) = bed.query(ms, 0, &[1.0]);
        let (_, replica) = sends(&actions)[0];
        match (replica == ReplicaId(1), broken) {
            (true, Some(at)) => {
                bed.end(ms + 10, id + 1, 0, replica, Outcome::Ok);
                return ms - at;
            }
            (true, None) => {
                broken = Some(ms);
                bed.end(ms + 1, id + 1, 0, replica, Outcome::ConnectionReset);
            }
            (false, _) => drop(bed.end(ms + 1, id + 1, 0, replica, Outcome::Error)),
        }
    }
    panic!("it was never tried again");
}

#[test]
fn a_replica_that_keeps_dying_rests_each_time() {
    let mut bed = Bed::new(
        Settings {
            max_attempts: Some(1),
            ..settings(vec![class(2000, 1.0)])
        },
        2,
    );
    let (first, second) = (rest_after_break(&mut bed), rest_after_break(&mut bed));
    assert!(
        first >= 1000 && second >= 1000,
        "rested {first} ms, then {second} ms"
    );
}

#[test]
fn odd_events_do_no_harm() {
    let mut bed = Bed::new(settings(vec![class(2000, 0.5)]), 2);
    bed.end(0, 9, 3, ReplicaId(77), Outcome::Ok);
    bed.at(
        1,
        &[
            Event::ClientDisconnected { id: 5 },
            Event::TimerFired { token: 9 },
        ],
    );
    bed.at(
        2,
        &[Event::PartReceived {
            id: 3,
            group: 99,
            shard: 0,
            weight: 1.0,
        }],
    );
    let (_, actions) = bed.query(3, 0, &[f64::NAN, -1.0, 1.0]);
    assert_eq!(sends(&actions).len(), 3);
    let (_, unknown_class) = bed.query(4, 9, &[1.0]);
    assert!(sends(&unknown_class).is_empty());
    bed.list(EndpointUpdateKind::Snapshot, vec![]);
    assert_eq!(
        finals(&bed.query(5, 0, &[1.0]).1),
        ["refused"],
        "no holder is left"
    );
    assert_eq!(finals(&bed.run(10, 6000)).len(), 1);
}

/// All that fail and ask again at once keep the service of the list too busy to answer any.
#[test]
fn a_list_that_must_be_asked_for_is_asked_again_after_a_failure_but_not_at_once() {
    let on_request = Settings {
        discovery_mode: DiscoveryMode::Poll,
        max_list_staleness: 20_000 * MS,
        ..settings(vec![class(2000, 1.0)])
    };
    let mut bed = Bed {
        module: Coordinator::new(on_request, 1),
        now: START,
        next: 1,
    };
    let asked =
        |actions: &[Action]| actions.contains(&Action::SubscribeEndpoints { enabled: true });
    assert!(asked(&bed.at(0, &[])));
    assert!(!asked(&bed.at(10, &[])));
    let mut last = 0;
    for failure in 0..4 {
        let at = last + 20;
        let failed = Event::EndpointsUpdated {
            kind: EndpointUpdateKind::RequestFailed,
            endpoints: vec![],
        };
        let actions = bed.at(at, &[failed]);
        let woken = actions.iter().any(|a| matches!(a, Action::SetTimer { .. }));
        assert!(
            woken && !asked(&actions),
            "a timer, no call, though no query is open"
        );
        let again = (at / 10 + 1..)
            .map(|t| t * 10)
            .find(|ms| asked(&bed.tick(*ms)))
            .unwrap();
        assert!(again - at >= 500 << failure, "longer each time");
        assert!(
            again - at <= 20_000,
            "within the time in which it has to be asked for"
        );
        last = again;
    }
    bed.list(EndpointUpdateKind::Delta, vec![member(1)]);
    assert!(
        (0..300).all(|t| !asked(&bed.tick(last + 100 + t * 100))),
        "subscribed"
    );
}

/// Rare queries: a replica that never answered must not look like the average again a moment after it failed.
#[test]
fn failures_of_a_replica_that_was_never_heard_are_remembered() {
    let mut bed = Bed::new(settings(vec![class(2000, 1.0)]), 2);
    let (id, actions) = bed.query(0, 0, &[1.0]);
    let (_, dead) = sends(&actions)[0];
    let again = bed.end(250, id + 1, 0, dead, Outcome::ConnectFailed);
    bed.end(1000, id + 1, 1, sends(&again)[0].1, Outcome::Ok);
    for at in [6000, 7000, 8000] {
        assert_ne!(bed.served(at, 700), dead);
    }
}

/// A hundred light parts: one bad second must not drop all that the floor lets go.
#[test]
fn a_step_of_the_cutoff_gives_up_a_quarter_of_what_may_go() {
    let mut bed = Bed::new(settings(vec![class(2000, 0.5), class(90_000, 0.6)]), 3);
    press(&mut bed, 0, 0);
    let (id, actions) = bed.query(1900, 1, &[0.01; 100]);
    let sent = sends(&actions)
        .iter()
        .filter(|(part, _)| *part > id)
        .count();
    assert!(
        (80..100).contains(&sent),
        "{sent} of 100 parts sent after the first steps"
    );
}

/// One tenant's clients give up early and repeat at once: another tenant's queries are no late repeats.
#[test]
fn one_tenants_short_tries_do_not_spoil_anothers() {
    let mut bed = Bed::new(marked(), 3);
    for i in 0..10 {
        bed.query_with_patience(i * 10, 0, &[1.0], 800 * MS);
    }
    let (_, sound) = bed.query_with_patience(200, 0, &[1.0], 6000 * MS);
    assert!(!finals(&sound).contains(&"refused"));
    let (_, short) = bed.query_with_patience(210, 0, &[1.0], 700 * MS);
    assert!(
        !finals(&short).contains(&"refused"),
        "a first try is never spent"
    );
}

/// Clients that leave before a usual part is back and repeat at once: their work would only delay the others.
#[test]
fn a_client_who_leaves_before_a_usual_part_is_back_is_refused() {
    let mut bed = Bed::new(marked(), 3);
    for i in 0..20 {
        bed.served(i * 500, 450);
    }
    let (_, hasty) = bed.query_with_patience(10_000, 0, &[1.0], 300 * MS);
    assert_eq!(finals(&hasty), ["refused"]);
    let (_, patient) = bed.query_with_patience(10_010, 0, &[1.0], 600 * MS);
    assert_eq!(sends(&patient).len(), 1);
}

/// One-sided loss: the copy lands, the lost attempt is withdrawn, and nobody ever says that it was lost.
#[test]
fn a_silent_attempt_that_was_overtaken_weighs_as_a_failure() {
    let mut bed = Bed::new(settings(vec![class(2000, 1.0)]), 2);
    for i in 0..10 {
        bed.served(i * 200, 100);
    }
    let (id, actions) = bed.query(3000, 0, &[1.0]);
    let (_, lossy) = sends(&actions)[0];
    let copy = sends(&bed.run(3010, 3900))[0].1;
    bed.end(4000, id + 1, 1, copy, Outcome::Ok);
    assert_ne!(copy, lossy);
    for at in [6000, 6500, 7000] {
        assert_eq!(bed.served(at, 150), copy);
    }
}

/// A lone query of many parts, most of them lost: its copies must not end when its parts are two seconds old.
#[test]
fn a_lone_long_query_gets_copies_late() {
    let mut bed = Bed::new(
        Settings {
            max_parts_per_call: None,
            ..settings(vec![class(4000, 1.0)])
        },
        200,
    );
    let (id, actions) = bed.query(0, 0, &[0.01; 100]);
    for (part, replica) in sends(&actions).into_iter().skip(30) {
        bed.end(300, part, 0, replica, Outcome::Ok);
    }
    let copies = sends(&bed.run(310, 3900));
    let late = copies.iter().filter(|(part, _)| *part > id).count();
    assert!(late > 15, "{late} copies of thirty lost parts");
}

/// Rare queries: a jam seen seconds ago must not refuse what comes now.
#[test]
fn a_jam_that_is_long_past_refuses_nothing() {
    let mut bed = Bed::new(settings(vec![class(2000, 1.0)]), 1);
    bed.served(0, 1500);
    let (_, at_once) = bed.query(1510, 0, &[1.0]);
    assert_eq!(finals(&at_once), ["refused"]);
    let (_, later) = bed.query(6000, 0, &[1.0]);
    assert_eq!(sends(&later).len(), 1);
}

/// A storm of repeats that give up before the aim: they have no more time than the try that failed.
#[test]
fn a_hasty_repeat_is_refused_and_a_patient_one_is_not() {
    let mut bed = Bed::new(marked(), 3);
    let (_, first) = bed.ask(0, 0, &[1.0], 900 * MS, false);
    assert_eq!(sends(&first).len(), 1);
    let (_, hasty) = bed.ask(910, 0, &[1.0], 900 * MS, true);
    assert!(sends(&hasty).is_empty() && finals(&hasty).contains(&"refused"));
    let mut bed = Bed::new(marked(), 3);
    bed.ask(0, 0, &[1.0], 2500 * MS, false);
    let (_, patient) = bed.ask(910, 0, &[1.0], 2500 * MS, true);
    assert!(!finals(&patient).contains(&"refused"));
}

/// A tight budget: attempts for queries that may do without a part must not starve those that need every one.
#[test]
fn half_of_the_budget_is_kept_for_classes_that_need_every_part() {
    let mut tight = settings(vec![class(2000, 0.5), class(2000, 1.0)]);
    tight.retry_budget = Some(RetryBudget {
        minimum: 4.0,
        ratio: 0.0,
        window: 1000 * MS,
    });
    tight.max_parts_per_call = None;
    let mut bed = Bed::new(tight, 20);
    let again: Vec<usize> = [0, 1]
        .map(|class| {
            let (_, actions) = bed.query(100 * u64::from(class), class, &[0.1; 10]);
            let lost = all_end(&sends(&actions), Outcome::Error);
            sends(&bed.at(100 * u64::from(class) + 20, &lost)).len()
        })
        .into();
    assert_eq!(again, [2, 2]);
}

/// Trouble for us alone at many replicas: the ones not met yet are found out by probes, not by parts.
#[test]
fn many_silent_replicas_set_off_one_round_of_probes() {
    let probes = |actions: &[Action]| -> Vec<ReplicaId> {
        let probe = |a: &Action| {
            if let Action::Probe { replica } = a {
                Some(*replica)
            } else {
                None
            }
        };
        actions.iter().filter_map(probe).collect()
    };
    for may_probe in [false, true] {
        let kind = Settings {
            probing_enabled: may_probe,
            max_parts_per_call: None,
            ..settings(vec![class(2000, 1.0)])
        };
        let mut bed = Bed::new(kind, 20);
        let (_, actions) = bed.query(0, 0, &[0.25; 4]);
        let sent = sends(&actions);
        let asked = probes(&bed.at(250, &all_end(&sent, Outcome::ConnectFailed)));
        assert_eq!(asked.is_empty(), !may_probe);
        assert!(
            sent.iter().all(|(_, failed)| !asked.contains(failed)),
            "only those not met yet"
        );
        assert!(probes(&bed.run(260, 1000)).is_empty(), "one round only");
        let Some(bad) = asked.first() else { continue };
        let (latency, report) = (250 * MS, vec![]);
        bed.at(
            1010,
            &[Event::ProbeEnded {
                replica: *bad,
                outcome: Outcome::TimedOut,
                latency,
                report,
            }],
        );
        let (_, next) = bed.query(1020, 0, &[0.1; 10]);
        assert!(sends(&next).iter().all(|(_, replica)| replica != bad));
    }
}

/// Slow handshakes: a co-ordinator that has just started finds no connection. That is no load: no light part
/// is dropped for it.
#[test]
fn failed_connections_to_replicas_never_heard_are_no_pressure() {
    for heard in [false, true] {
        let mut bed = Bed::new(settings(vec![class(2000, 0.5), class(90_000, 0.5)]), 3);
        let mut at = 0;
        while heard && at < 3000 {
            bed.served(at, 100);
            at += 200;
        }
        let mut seen = Vec::new();
        for i in 0..12 {
            let (_, actions) = bed.query(at + i * 10, 0, &[1.0]);
            let (part, replica) = sends(&actions)[0];
            seen.extend(bed.end(at + i * 10 + 5, part, 0, replica, Outcome::ConnectFailed));
        }
        assert_eq!(logs(&seen, "cutoff raised from zero"), heard);
    }
}

/// Dozens of co-ordinators, each with one part a window, would push a cold replica over together.
#[test]
fn many_co_ordinators_share_what_a_cold_replica_bears() {
    let crowd = Settings {
        fleet_size: 50,
        ..cold()
    };
    let mut together = 0;
    for seed in 0..50 {
        let mut bed = Bed {
            module: Coordinator::new(crowd.clone(), seed),
            now: START,
            next: 1,
        };
        bed.list(
            EndpointUpdateKind::Snapshot,
            vec![Endpoint {
                started: START - MS,
                ..member(1)
            }],
        );
        let (_, actions) = bed.query(0, 0, &[1.0]);
        together += sends(&actions).len();
    }
    assert!(
        together <= 5,
        "{together} parts at once from fifty that have just started"
    );
}

/// What a cold replica bears was reckoned from sends kept for the span of a budget: five times too many.
#[test]
fn a_long_budget_span_does_not_swell_what_a_cold_replica_may_get() {
    let budget = Some(RetryBudget {
        minimum: 10.0,
        ratio: 0.2,
        window: 10_000 * MS,
    });
    let mut bed = Bed::new(
        Settings {
            retry_budget: budget,
            ..cold()
        },
        1,
    );
    (0..100).for_each(|i| {
        bed.served(i * 100, 50);
    });
    bed.list(
        EndpointUpdateKind::Delta,
        vec![Endpoint {
            started: START + 9_990 * MS,
            ..member(2)
        }],
    );
    let burst: Vec<_> = (0..40)
        .flat_map(|i| sends(&bed.query(10_000 + i, 0, &[1.0]).1))
        .collect();
    let cold = burst
        .iter()
        .filter(|(_, replica)| *replica == ReplicaId(2))
        .count();
    assert!(
        (1..=6).contains(&cold),
        "{cold} parts for one that bears about four"
    );
}

/// Something on the way drops unused connections unseen: what is sent on one is lost, though the replica
/// lives. Rounds of a query whose attempts on unused connections break; in which connections are renewed.
fn unused_connections_break(rounds: u64, renewed_break: bool) -> Vec<bool> {
    let mut bed = Bed::new(
        Settings {
            connection_idle_timeout: 15_000 * MS,
            ..settings(vec![class(2000, 1.0)])
        },
        2,
    );
    bed.served(0, 50);
    bed.served(10, 60);
    let mut renewed = Vec::new();
    for at in (1..=rounds).map(|i| i * 4000) {
        let (id, mut actions) = bed.query(at, 0, &[1.0]);
        let closes = |actions: &[Action]| {
            actions
                .iter()
                .any(|a| matches!(a, Action::CloseIdleConnections { .. }))
        };
        renewed.push(closes(&actions));
        let mut number = 0;
        if renewed_break || !closes(&actions) {
            let (_, replica) = sends(&actions)[0];
            actions = bed.end(at + 5, id + 1, 0, replica, Outcome::ConnectionReset);
            number = 1;
        }
        bed.end(at + 200, id + 1, number, sends(&actions)[0].1, Outcome::Ok);
    }
    renewed
}

#[test]
fn unused_connections_are_renewed_while_they_are_lost() {
    let renewed = unused_connections_break(40, false);
    assert!(
        !renewed[..2].contains(&true),
        "a chance loss or two is no reason"
    );
    assert!(renewed.iter().filter(|r| **r).count() > 20, "{renewed:?}");
}

#[test]
fn renewing_that_does_not_help_ends() {
    let renewed = unused_connections_break(80, true);
    assert!(renewed.contains(&true), "it is tried");
    assert!(renewed.iter().filter(|r| **r).count() < 60, "{renewed:?}");
}

/// Some queries bring down each replica that begins a part: asked again and again, they take the whole fleet.
#[test]
fn a_query_that_breaks_every_replica_goes_out_once() {
    let mut bed = Bed::new(
        Settings {
            max_parts_per_call: None,
            ..settings(vec![class(2000, 1.0)])
        },
        12,
    );
    let (_, actions) = bed.query(0, 0, &[0.25; 4]);
    let sent = sends(&actions);
    let broken = all_end(&sent, Outcome::ConnectionReset);
    let last = bed.at(10, &broken);
    assert!(sends(&last).is_empty(), "no replica more");
    assert_eq!(finals(&last), ["refused"], "at once");
}

#[test]
fn a_query_that_met_dying_replicas_by_chance_is_asked_again() {
    let mut bed = Bed::new(
        Settings {
            max_parts_per_call: None,
            ..settings(vec![class(2000, 1.0)])
        },
        12,
    );
    let (_, actions) = bed.query(0, 0, &[0.2; 5]);
    let sent = sends(&actions);
    let first = bed.at(10, &all_end(&sent[..4], Outcome::ConnectionReset));
    assert!(
        sends(&first).is_empty() && finals(&first).is_empty(),
        "held while a part may still land"
    );
    let landed = bed.at(150, &all_end(&sent[4..], Outcome::Ok));
    assert_eq!(sends(&landed).len(), 4, "it does no harm");
}

/// A whole answer that one part has made impossible is given up, though others are still out.
#[test]
fn a_query_that_can_not_be_whole_any_more_is_refused_at_once() {
    let once = Settings {
        max_attempts: Some(1),
        ..settings(vec![class(2000, 1.0)])
    };
    let mut bed = Bed::new(once, 4);
    let (id, actions) = bed.query(0, 0, &[0.5, 0.5]);
    let after = bed.end(20, id + 1, 0, sends(&actions)[0].1, Outcome::ConnectFailed);
    assert_eq!(finals(&after), ["refused"]);
}

/// No budget before the aim, or no holder left: waiting for a repeat that can't be sent is holding the query.
#[test]
fn a_query_whose_repeat_can_not_be_sent_is_refused_at_once() {
    let spent = RetryBudget {
        minimum: 0.0,
        ratio: 0.0,
        window: 10_000 * MS,
    };
    let mut bed = Bed::new(
        Settings {
            retry_budget: Some(spent),
            ..settings(vec![class(2000, 1.0)])
        },
        4,
    );
    let (id, actions) = bed.query(0, 0, &[1.0]);
    let after = bed.end(20, id + 1, 0, sends(&actions)[0].1, Outcome::ConnectFailed);
    assert_eq!(finals(&after), ["refused"], "no budget");
    let mut bed = Bed::new(settings(vec![class(2000, 1.0)]), 1);
    let (id, actions) = bed.query(0, 0, &[1.0]);
    bed.list(EndpointUpdateKind::Snapshot, vec![]);
    let after = bed.end(20, id + 1, 0, sends(&actions)[0].1, Outcome::ConnectFailed);
    assert_eq!(finals(&after), ["refused"], "no holder");
}

/// Each part that crosses zones costs points, whatever the load: while there is time, a short queue at the
/// near replica is better than crossing, and a long one is not.
#[test]
fn a_replica_in_the_own_zone_is_preferred_while_its_queue_is_short() {
    let priced = Settings {
        zone: 1,
        cross_zone_cost: 0.04,
        max_parts_per_call: None,
        ..settings(vec![class(2000, 1.0)])
    };
    let mut bed = Bed::new(priced, 0);
    bed.list(
        EndpointUpdateKind::Snapshot,
        vec![
            member(1),
            Endpoint {
                zone: 1,
                ..member(2)
            },
            member(3),
        ],
    );
    let sent = sends(&bed.query(0, 0, &[0.4, 0.3, 0.3]).1);
    let near = sent
        .iter()
        .map(|(_, replica)| *replica == ReplicaId(2))
        .collect::<Vec<_>>();
    assert_eq!(
        near,
        [true, true, false],
        "one in its queue costs less than crossing, two cost more"
    );
}

/// When all are slow the first attempt lands before its copy: copies double the load and win nothing.
#[test]
fn copies_that_lose_their_races_become_few() {
    let copies = |first_lands: bool| {
        let mut bed = Bed::new(
            Settings {
                max_parts_per_call: None,
                ..settings(vec![class(2000, 1.0)])
            },
            24,
        );
        (0..40).for_each(|i| {
            bed.served(i * 20, 100);
        });
        let mut last = 0;
        for round in 1..=12 {
            let at = round * 3000;
            let sent = sends(&bed.query(at, 0, &[0.1; 10]).1);
            let again = sends(&bed.run(at + 10, at + 900));
            last = again.len();
            let mut events = Vec::new();
            for (part, replica) in &sent {
                let Some((_, other)) = again.iter().find(|(p, _)| p == part) else {
                    events.push(ended(*part, 0, *replica, Outcome::Ok));
                    continue;
                };
                let (won, lost) = if first_lands { (0, 1) } else { (1, 0) };
                let by = [*replica, *other];
                events.push(ended(*part, won, by[won as usize], Outcome::Ok));
                events.push(ended(*part, lost, by[lost as usize], Outcome::Cancelled));
            }
            bed.at(at + 910, &events);
        }
        last
    };
    assert!(
        copies(false) > copies(true),
        "{} and {}",
        copies(false),
        copies(true)
    );
}

/// What answers usually take is their mean: a query with time for that is not turned away for a few slow
/// ones.
#[test]
fn a_query_with_time_for_a_mean_answer_is_not_refused() {
    let mut bed = Bed::new(marked(), 4);
    for i in 0..60 {
        bed.served(i * 200, if i % 2 == 0 { 50 } else { 150 });
    }
    let (_, actions) = bed.query_with_patience(13_000, 0, &[1.0], 180 * MS);
    assert_eq!(sends(&actions).len(), 1, "{actions:?}");
}

/// The client counts from its sending: what was on the way before the decision, and the answer's way back, come off
/// the aim as they come off the patience. Answers went out milliseconds too late for their full worth.
#[test]
fn an_answer_at_the_last_moment_leaves_time_for_its_way_back() {
    let answered = |network_delay: u64| {
        let mut bed = Bed::new(settings(vec![class(600, 0.5)]), 2);
        let (id, group) = (100, 1);
        let query = Event::QueryReceived {
            id,
            group,
            class: 0,
            tenant: 0,
            client_timeout: 1600 * MS,
            network_delay: network_delay * MS,
            work: None,
            client_retry: false,
        };
        let part = |i| Event::PartReceived {
            id: id + i,
            group,
            shard: i as u32,
            weight: 0.5,
        };
        let sent = sends(&bed.at(0, &[query, part(1), part(2)]));
        bed.end(50, sent[0].0, 0, sent[0].1, Outcome::Ok);
        (6..80)
            .map(|t| t * 10)
            .find(|at| finals(&bed.tick(*at)).contains(&"partial"))
    };
    let (at_once, later) = (
        answered(0).expect("in time"),
        answered(40).expect("in time"),
    );
    assert!(later <= 560, "{later} ms of an aim that ends after 560");
    assert_eq!(at_once - later, 40);
}

/// Parts that the leaf servers took go on running when their query is given up. A hundred co-ordinators that
/// each send on while all holders turn parts away keep every queue full of work for nobody.
#[test]
fn queries_are_kept_out_while_holder_after_holder_is_full_and_let_in_again_with_answers() {
    let mut bed = Bed::new(settings(vec![class(2000, 0.5)]), 4);
    let weights = [0.05; 20];
    let let_in = |bed: &mut Bed, from: u64| {
        let mut count = 0;
        for i in 0..40 {
            let (id, actions) = bed.query(from + i, 0, &weights);
            let sent = sends(&actions);
            count += usize::from(!sent.is_empty());
            bed.at(from + i, &[Event::ClientDisconnected { id }]);
            bed.at(from + i, &all_end(&sent, Outcome::Cancelled));
        }
        count
    };
    let (id, actions) = bed.query(0, 0, &weights);
    let again = bed.at(2, &all_end(&sends(&actions), Outcome::Rejected));
    let second = sends(&again);
    assert!(second.len() > 10, "each part asks a second holder");
    assert_eq!(
        let_in(&mut Bed::new(settings(vec![class(2000, 0.5)]), 4), 0),
        40
    );
    let refused: Vec<_> = second
        .iter()
        .map(|(part, replica)| ended(*part, 1, *replica, Outcome::Rejected))
        .collect();
    bed.at(4, &refused);
    bed.at(5, &[Event::ClientDisconnected { id }]);
    // The holders' own rest after a refusal is over by then.
    let few = let_in(&mut bed, 600);
    assert!(
        (1..=12).contains(&few),
        "{few} of 40 after two refusals of each part"
    );
    for i in 0..400 {
        let (id, actions) = bed.query(3000 + i * 100, 0, &[1.0]);
        if let Some((_, replica)) = sends(&actions).first() {
            bed.end(3050 + i * 100, id + 1, 0, *replica, Outcome::Ok);
        }
    }
    assert_eq!(let_in(&mut bed, 50_000), 40, "answers open it again");
}

/// Parts that reach a cold replica in its first second, of a query each 20 ms that may go nowhere else.
fn sent_to_a_cold_one(allowance: f64, took: Option<u64>) -> usize {
    let mut bed = Bed::new(
        Settings {
            fleet_rate_limit: allowance,
            ..cold()
        },
        0,
    );
    bed.list(
        EndpointUpdateKind::Snapshot,
        vec![Endpoint {
            started: START - MS,
            ..member(1)
        }],
    );
    let mut count = 0;
    for at in (0..50).map(|i| i * 20) {
        let (id, actions) = bed.query(at, 0, &[1.0]);
        count += sends(&actions).len();
        if let (Some(took), Some((_, replica))) = (took, sends(&actions).first()) {
            bed.end(at + took, id + 1, 0, *replica, Outcome::Ok);
        }
    }
    count
}

/// A mixer that has just started, or that meets each of many replicas seldom, has little to reckon by: cold
/// servers stood idle while the warm ones left were swamped.
#[test]
fn room_at_a_cold_replica_is_reckoned_from_what_the_tenants_may_ask() {
    assert!(sent_to_a_cold_one(0.0, None) <= 3);
    // 50 a second may be asked; cold to a fifth it bears 10, and four times that brings it down.
    let told = sent_to_a_cold_one(50.0, None);
    assert!((15..=40).contains(&told), "{told}");
    assert!(sent_to_a_cold_one(25.0, None) < told);
}

#[test]
fn a_cold_replica_that_answers_quickly_gets_more() {
    let quiet = sent_to_a_cold_one(25.0, None);
    let quick = sent_to_a_cold_one(25.0, Some(10));
    assert!(quick > quiet + quiet / 4, "{quick} and {quiet}");
    assert!(quick <= 40, "{quick}");
}

/// What was answered is a load that all bear, and the whole multiple of it is used already: a fifth and more of
/// what brings it down would be past it.
#[test]
fn quick_answers_do_not_swell_the_room_reckoned_from_what_was_answered() {
    let mut bed = Bed::new(cold(), 1);
    (0..100).for_each(|i| {
        bed.served(i * 100, 50);
    });
    let gone = Endpoint {
        status: EndpointStatus::Gone,
        ..member(1)
    };
    bed.list(
        EndpointUpdateKind::Delta,
        vec![
            gone,
            Endpoint {
                started: START + 9_990 * MS,
                ..member(2)
            },
        ],
    );
    let mut count = 0;
    for at in (0..50).map(|i| 10_000 + i * 20) {
        let (id, actions) = bed.query(at, 0, &[1.0]);
        if let Some((_, replica)) = sends(&actions).first() {
            count += 1;
            bed.end(at + 10, id + 1, 0, *replica, Outcome::Ok);
        }
    }
    assert!(
        (4..=13).contains(&count),
        "{count} parts for one of about ten"
    );
}

/// A query that is given up with parts out has cost their work for nothing; the next ones would too.
#[test]
fn queries_that_are_given_up_with_parts_out_keep_others_out() {
    let mut bed = Bed::new(settings(vec![class(2000, 1.0)]), 4);
    let refused = |bed: &mut Bed, from: u64| {
        let mut count = 0;
        for i in 0..40 {
            let (id, actions) = bed.query(from + i, 0, &[1.0]);
            count += usize::from(finals(&actions) == ["refused"]);
            bed.at(from + i, &[Event::ClientDisconnected { id }]);
            bed.at(from + i, &all_end(&sends(&actions), Outcome::Cancelled));
        }
        count
    };
    assert_eq!(refused(&mut bed, 0), 0);
    for at in (1..=6).map(|i| i * 3_000) {
        let sent = sends(&bed.query(at, 0, &[1.0]).1);
        let copies = sends(&bed.run(at + 10, at + 2_010));
        bed.at(at + 2_010, &all_end(&sent, Outcome::TimedOut));
        let copy =
            |(part, replica): &(u64, ReplicaId)| ended(*part, 1, *replica, Outcome::TimedOut);
        bed.at(
            at + 2_010,
            &copies.iter().take(1).map(copy).collect::<Vec<_>>(),
        );
    }
    let kept_out = refused(&mut bed, 40_000);
    assert!((20..40).contains(&kept_out), "{kept_out} of 40");
}
