//! The query language and the merge of shard answers, without a network.

use cottonhill_opensearch::dsl::{Search, SearchError, MAX_CLAUSES, MAX_DEPTH};
use cottonhill_opensearch::merge::{merge, parse_shard_answer, Relation, ShardAnswer};
use proptest::prelude::*;
use serde_json::{json, Value};

fn parse(body: &Value) -> Result<Search, SearchError> {
    Search::parse(body.to_string().as_bytes())
}

#[test]
fn invalid_searches_are_rejected_with_the_path_of_the_error() {
    let nested = |depth: usize| {
        (0..depth).fold(
            json!({"match_all": {}}),
            |inner, _| json!({"constant_score": {"filter": inner}}),
        )
    };
    let many: Vec<Value> = (0..MAX_CLAUSES).map(|_| json!({"match_all": {}})).collect();
    let cases = [
        (json!({"quary": {}}), "quary", "unknown field"),
        (
            json!({"query": {"matsch": {"a": 1}}}),
            "query",
            "unknown variant",
        ),
        (
            json!({"query": {"bool": {"must": [{"term": {"a": {"value": 1, "bost": 2}}}]}}}),
            "query.bool.must",
            "bost",
        ),
        (
            json!({"query": {"term": {"a": 1, "b": 2}}}),
            "query.term",
            "[b] is another",
        ),
        (
            json!({"query": {"range": {"a": {"above": 1}}}}),
            "query.range.a",
            "above",
        ),
        (
            json!({"query": {"range": {"a": []}}}),
            "query.range",
            "an object",
        ),
        (json!({"query": {"bool": []}}), "query.bool", "an object"),
        (
            json!({"aggs": {"x": {"max": ["a"]}}}),
            "aggs.x",
            "an object",
        ),
        (json!({"size": -1}), "size", "invalid value"),
        (json!({"from": 9_999, "size": 2}), "from", "10000 at most"),
        (
            json!({"from": u64::MAX, "size": 2}),
            "from",
            "10000 at most",
        ),
        (json!({"query": nested(MAX_DEPTH)}), "query", "deep"),
        (
            json!({"query": {"bool": {"should": many}}}),
            "query",
            "clauses",
        ),
        (
            json!({"query": {"ids": {"values": vec!["x"; MAX_CLAUSES + 1]}}}),
            "query",
            "values",
        ),
        (json!({"search_after": [1]}), "search_after", "sort"),
        (
            json!({"search_after": [1, 2], "sort": ["a"]}),
            "search_after",
            "each key",
        ),
        (
            json!({"search_after": [{}], "sort": ["a"]}),
            "search_after",
            "plain",
        ),
        (json!({"sort": [{"a": "up"}]}), "sort", "up"),
        (json!({"timeout": "5 minutes"}), "timeout", "no time"),
        (
            json!({"aggs": {"x": {"terms": {"field": "a", "size": 0}}}}),
            "aggs.x",
            "size",
        ),
        (
            json!({"aggs": {"x": {"histogram": {"field": "a", "interval": 0}}}}),
            "aggs.x",
            "interval",
        ),
        (
            json!({"aggs": {"x": {"terms": {"field": "a"}, "aggs": {}}}}),
            "aggs.x",
            "",
        ),
        (
            json!({"aggs": {"x": {"percentiles": {"field": "a"}}}}),
            "aggs.x",
            "percentiles",
        ),
    ];
    for (body, path, reason) in cases {
        let error = parse(&body).expect_err(&body.to_string());
        assert!(
            error.path.starts_with(path) && error.reason.contains(reason),
            "{body}: {error}"
        );
    }
    assert!(parse(&json!({"query": nested(MAX_DEPTH - 1)})).is_ok());
    // A body of maximal depth is rejected before the recursive parser runs.
    let deep = [b"[".repeat(60_000), b"]".repeat(60_000)].concat();
    assert!(Search::parse(&deep).unwrap_err().exceeds_limit);
    for text in [
        "{",
        "{}{}",
        "[]",
        "1e999",
        "\"\\ud800\"",
        "{\"size\":1e999}",
        "{\"query\":{\"term\":{\"a\":NaN}}}",
    ] {
        assert!(Search::parse(text.as_bytes()).is_err(), "{text}");
    }
    assert_eq!(Search::parse(b" \n").unwrap(), Search::default());
}

#[test]
fn the_shard_search_covers_everything_before_the_end_of_the_page() {
    let search = parse(
        &json!({"from": 30, "size": 20, "timeout": "1s", "aggregations": {
        "a": {"avg": {"field": "x"}}, "t": {"terms": {"field": "x", "size": 4}}}}),
    );
    let shard = serde_json::to_value(search.unwrap().for_shards()).unwrap();
    assert_eq!(
        shard,
        json!({"size": 50, "aggs": {"a": {"stats": {"field": "x"}}, "t": {"terms": {"field": "x", "size": 16}}}})
    );
}

fn shard(hits: Value, total: Value, aggregations: Value) -> ShardAnswer {
    let text =
        json!({"hits": {"total": total, "hits": hits}, "aggregations": aggregations}).to_string();
    serde_json::from_str(&text).unwrap()
}

#[test]
fn equal_missing_and_mixed_sort_values_have_a_deterministic_order() {
    let search = parse(&json!({"sort": [{"n": "desc"}], "size": 20})).unwrap();
    let hit = |id: &str, key: Value| json!({"_id": id, "_score": null, "sort": [key]});
    let eq = |n: u64| json!({"value": n, "relation": "eq"});
    let answers = || {
        let one = json!([
            hit("t", json!("7")),
            hit("c", json!(7)),
            hit("big", json!(u64::MAX))
        ]);
        let two = json!([
            hit("b", json!(7)),
            hit("a", json!(7)),
            hit("z", Value::Null)
        ]);
        let three = json!([hit("m", json!(-1e300)), hit("f", json!(true))]);
        let lower_bound = json!({"value": 9, "relation": "gte"});
        vec![
            (2, shard(two, eq(3), json!({}))),
            (1, shard(one, eq(3), json!({}))),
            (3, shard(three, lower_bound, json!({}))),
        ]
    };
    let ids = |answers| {
        merge(&search, answers)
            .hits
            .iter()
            .map(|hit| hit.id.clone())
            .collect::<Vec<_>>()
    };
    let expected = ["big", "c", "a", "b", "m", "t", "f", "z"];
    assert_eq!(ids(answers()), expected);
    let mut reversed = answers();
    reversed.reverse();
    assert_eq!(
        ids(reversed),
        expected,
        "the order of the answers does not matter"
    );
    let total = merge(&search, answers()).total.unwrap();
    assert_eq!(
        (total.value, total.relation),
        (15, Relation::Gte),
        "a lower bound of one shard makes the sum a lower bound"
    );
}

#[test]
fn merged_terms_have_their_error_bound() {
    let search =
        parse(&json!({"size": 0, "aggs": {"t": {"terms": {"field": "x", "size": 2}}}})).unwrap();
    let shard_terms = |buckets: &[(&str, u64)], other: u64| {
        let buckets: Vec<Value> = buckets
            .iter()
            .map(|(key, n)| json!({"key": key, "doc_count": n}))
            .collect();
        let terms = json!({"doc_count_error_upper_bound": 0, "sum_other_doc_count": other, "buckets": buckets});
        shard(
            json!([]),
            json!({"value": 0, "relation": "eq"}),
            json!({ "t": terms }),
        )
    };
    let answers = vec![
        (0, shard_terms(&[("a", 9), ("b", 5)], 4)),
        (1, shard_terms(&[("c", 8), ("b", 6), ("d", 1)], 0)),
    ];
    let merged = merge(&search, answers);
    assert_eq!(
        merged.aggregations["t"],
        json!({"doc_count_error_upper_bound": 5, "sum_other_doc_count": 13,
            "buckets": [{"key": "b", "doc_count": 11}, {"key": "a", "doc_count": 9}]})
    );
}

#[test]
fn unusable_shard_answers_are_shard_failures_with_a_reason() {
    let search = parse(&json!({"sort": ["a"], "aggs": {"m": {"max": {"field": "a"}}}})).unwrap();
    let cases = [
        (
            json!({"error": {"type": "x_exception", "reason": "why"}, "status": 400}).to_string(),
            "x_exception",
            "why",
        ),
        (
            "{\"hits\":{\"hits\":[".into(),
            "json_parse_exception",
            "EOF",
        ),
        (
            json!({"timed_out": true, "hits": {"hits": []}}).to_string(),
            "timeout_exception",
            "time",
        ),
        (
            json!({"hits": {"hits": [{"_id": "1"}]}}).to_string(),
            "illegal_state_exception",
            "sort",
        ),
        (
            json!({"hits": {"hits": []}}).to_string(),
            "illegal_state_exception",
            "[m] is missing",
        ),
    ];
    for (text, kind, reason) in cases {
        let failure = parse_shard_answer(&text, &search).unwrap_err();
        assert!(
            failure.kind == kind && failure.reason.contains(reason),
            "{text}: {failure:?}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// No input makes the parser panic, and a parsed search is equal to itself after it is serialized and parsed again.
    #[test]
    fn any_bytes_are_a_search_or_an_error(
        pieces in prop::collection::vec(prop::sample::select(vec![
            "{", "}", "[", "]", ",", ":", "\"query\"", "\"bool\"", "\"must\"", "\"term\"", "\"match_all\"", "\"size\"",
            "\"sort\"", "\"aggs\"", "\"a\"", "1", "-1", "1e308", "null", "true", "\"desc\"", "\"\\", "\u{1f3b5}",
        ]), 0..40),
        noise in prop::collection::vec(any::<u8>(), 0..20),
    ) {
        let mut bytes = pieces.concat().into_bytes();
        let _ = Search::parse(&bytes);
        bytes.extend(noise);
        if let Ok(search) = Search::parse(&bytes) {
            let again = serde_json::to_vec(&search).unwrap();
            prop_assert_eq!(Search::parse(&again).unwrap(), search);
        }
        let _ = parse_shard_answer(&String::from_utf8_lossy(&bytes), &Search::default());
    }

    /// The merged page is that page of all hits in order, however they are distributed over the shards.
    #[test]
    fn pages_are_slices_of_all_hits_in_order(
        scores in prop::collection::vec((0u8..4, 0u32..5), 0..60), from in 0u64..30, size in 0u64..30,
    ) {
        let search = parse(&json!({"from": from, "size": size})).unwrap();
        let mut expected: Vec<(u8, u32, String)> = Vec::new();
        let mut shards: Vec<Vec<Value>> = vec![Vec::new(); 5];
        for (n, (score, shard)) in scores.iter().enumerate() {
            expected.push((*score, *shard, format!("{n:03}")));
            shards[*shard as usize].push(json!({"_id": format!("{n:03}"), "_score": score}));
        }
        expected.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        let total = |hits: &[Value]| json!({"value": hits.len(), "relation": "eq"});
        let answers = shards.iter().enumerate().map(|(n, hits)| (n as u32, shard(json!(hits), total(hits), json!({}))));
        let merged = merge(&search, answers.collect());
        let ids: Vec<String> = merged.hits.iter().map(|hit| hit.id.clone()).collect();
        let page: Vec<String> = expected.into_iter().skip(from as usize).take(size as usize).map(|hit| hit.2).collect();
        prop_assert_eq!(ids, page);
        prop_assert_eq!(merged.total.map_or(0, |total| total.value), scores.len() as u64);
    }
}
