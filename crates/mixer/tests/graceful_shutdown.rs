//! Graceful shutdown: after SIGTERM the mixer serves during a grace period, then closes idle clients, answers the
//! accepted queries and exits before SIGKILL is due.

mod harness;

use cottonhill_mixer::protocol::query_json::Reply;
use cottonhill_mixer::reducer::Input;
use harness::{deployments, Harness, SETTINGS};

/// How long after SIGTERM clients may still connect.
const GRACE_MS: u64 = 700;
/// The maximum deadline in the calculation of the time of SIGKILL.
const MAX_COUNTED_DEADLINE_MS: u64 = 3000;

/// SIGKILL follows SIGTERM after 0.7 s plus the longest deadline, of which at most 3 s count.
#[test]
fn answers_all_accepted_queries_before_sigkill() {
    for settings_text in deployments() {
        // Answers after the latency objective have a value here, so a query stays open until its deadline.
        let settings_text = settings_text + "classes.0.late_value=0.9\nclasses.1.late_value=0.9\n";
        let longest_deadline_ms = if settings_text.contains("_ns=600000000\n") {
            600
        } else {
            MAX_COUNTED_DEADLINE_MS
        };
        for class in [0, 1] {
            check_all_are_answered(&settings_text, class, longest_deadline_ms + GRACE_MS);
        }
    }
}

fn check_all_are_answered(settings_text: &str, class: u16, sigkill_after_ms: u64) {
    let mut harness = Harness::with_settings(settings_text, 1);
    let client_before = harness.connect_client();
    harness.send_query_from(client_before, class, &[0.7, 0.3], 6000);
    harness.open_all_connections();
    harness.apply(Input::ShutdownRequested);
    harness.advance_ms(GRACE_MS);
    let client_during_grace = harness.connect_client();
    harness.send_query_from(client_during_grace, class, &[0.7, 0.3], 6000);
    harness.advance_ms(sigkill_after_ms - 50 - GRACE_MS);
    for client in [client_before, client_during_grace] {
        assert_eq!(
            harness.replies[&client].len(),
            1,
            "class {class} of {settings_text}"
        );
        assert!(
            !matches!(harness.last_reply(client), Some(Reply::Answer { .. })),
            "the leaf server has not answered"
        );
    }
    assert!(harness.has_exited);
    assert_eq!(harness.reducer.counters().faults, Default::default());
}

#[test]
fn serves_during_grace_then_closes_idle_clients_and_finishes_open_queries() {
    let mut harness = Harness::new(1);
    let idle = harness.send_query(1, &[1.0]);
    harness.serve_all();
    harness.apply(Input::ShutdownRequested);
    harness.advance_ms(GRACE_MS);
    assert!(
        harness.is_listening && harness.closed_clients.is_empty(),
        "clients may still connect for 0.7 s"
    );
    let client_during_grace = harness.send_query(1, &[1.0]);
    harness.advance_ms(100);
    assert!(!harness.is_listening);
    assert_eq!(harness.closed_clients, [idle]);
    assert!(!harness.has_exited, "a query is still open");
    harness.answer_all_parts();
    assert!(harness.is_answered_completely(client_during_grace));
    assert!(harness.has_exited);
}

#[test]
fn exits_before_sigkill() {
    let mut harness = Harness::new(1);
    harness.apply(Input::ShutdownRequested);
    harness.advance_ms(690);
    let client = harness.connect_client();
    harness.send_query_from(client, 1, &[1.0], 6000);
    harness.advance_ms(5400);
    assert_eq!(
        harness.replies[&client].len(),
        1,
        "SIGKILL is due 6.7 s after SIGTERM"
    );
    assert!(harness.has_exited);
}

#[test]
fn client_accepted_as_listener_closes_does_not_delay_exit() {
    let mut harness = Harness::new(1);
    harness.apply(Input::ShutdownRequested);
    harness.advance_ms(800);
    assert!(harness.has_exited);

    let mut harness = Harness::new(1);
    let busy = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    harness.apply(Input::ShutdownRequested);
    harness.advance_ms(800);
    let idle = harness.connect_client();
    assert_eq!(harness.closed_clients, [idle]);
    harness.answer_all_parts();
    assert!(harness.has_exited && harness.replies[&busy].len() == 1);
}

#[test]
fn not_ready_without_endpoints_or_after_shutdown_request() {
    let mut harness = Harness::new(0);
    assert!(!harness.is_ready());
    harness.update_endpoint(1, "up");
    assert!(harness.is_ready());
    harness.apply(Input::ShutdownRequested);
    assert!(!harness.is_ready());
}

/// Guards against an exit between two queries of one request of a frontend, as a multi-search sends them: the client
/// got no answer.
#[test]
fn does_not_exit_while_a_frontend_has_an_unanswered_request() {
    let mut harness = Harness::new(1);
    harness.reducer.add_frontend();
    let first = harness.send_frontend_query(1, &[1.0]);
    harness.open_all_connections();
    harness.apply(Input::ShutdownRequested);
    harness.advance_ms(800);
    harness.answer_all_parts();
    harness.disconnect_client(first);
    harness.advance_ms(1);
    assert!(!harness.has_exited, "the next query of the request follows");
    let second = harness.send_frontend_query(1, &[1.0]);
    harness.serve_all();
    assert!(harness.is_answered_completely(second));
    harness.disconnect_client(second);
    assert!(!harness.has_exited, "the response is not written yet");
    harness.apply(Input::FrontendClosed);
    assert!(harness.has_exited);
}

/// Guards against frontends without time to answer at the shutdown deadline, and against one that never does: the
/// process exits before SIGKILL all the same.
#[test]
fn frontends_write_their_last_responses_after_the_shutdown_deadline() {
    let sigkill_after_ms = MAX_COUNTED_DEADLINE_MS + GRACE_MS;
    // Answers after the latency objective have a value here, so a query stays open until its deadline.
    let settings_text =
        SETTINGS.to_string() + "classes.0.late_value=0.9\nclasses.1.late_value=0.9\n";
    for answers_in_time in [true, false] {
        let mut harness = Harness::with_settings(&settings_text, 1);
        harness.reducer.add_frontend();
        let open = harness.send_frontend_query(1, &[1.0]);
        harness.open_all_connections();
        harness.apply(Input::ShutdownRequested);
        harness.advance_ms(sigkill_after_ms - 101);
        assert!(harness.replies[&open].is_empty());
        harness.advance_ms(2);
        assert_eq!(harness.last_reply(open), Some(&Reply::Failed));
        // The next query of the same request.
        let next = harness.send_frontend_query(1, &[1.0]);
        assert!(
            matches!(harness.last_reply(next), Some(Reply::Rejected { .. })),
            "no time remains"
        );
        assert!(!harness.has_exited, "the responses are not written yet");
        if answers_in_time {
            harness.apply(Input::FrontendClosed);
        } else {
            harness.advance_ms(50);
        }
        assert!(harness.has_exited);
    }
}
