//! `_msearch`: several searches in one request.

use super::parameters::{read_parameters, Parameters};
use super::request::Caller;
use super::search::search;
use super::Context;
use crate::shape::{self, Answer};
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use std::rc::Rc;
use std::time::Instant;
use tokio::task::JoinSet;

/// Searches of one `_msearch`, and those of them that are asked at once.
const MOST_SEARCHES: usize = 256;
const AT_ONCE: usize = 8;

/// The line before each search of an `_msearch`.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Line {
    index: Option<Value>,
    preference: Option<String>,
    allow_partial_search_results: Option<bool>,
    routing: Option<String>,
    search_type: Option<String>,
}

/// Searches one after another on their lines, asked a few at a time and answered in their order. One that can't be
/// read is answered with its error; it does not touch the others.
pub(super) async fn msearch(
    context: &Rc<Context>,
    arrived: u64,
    index: Option<&str>,
    caller: &Caller,
    parameters: &Parameters,
    body: &Bytes,
) -> Result<Vec<u8>, Answer> {
    let began = Instant::now();
    let mut lines: Vec<&[u8]> = body
        .split(|byte| *byte == b'\n')
        .map(<[u8]>::trim_ascii)
        .collect();
    while lines.last().is_some_and(|line| line.is_empty()) {
        lines.pop();
    }
    if lines.is_empty() || lines.len() % 2 == 1 {
        let reason = "a search has two lines, each ended by a newline";
        return Err(shape::error(400, "illegal_argument_exception", reason));
    }
    if lines.len() / 2 > MOST_SEARCHES {
        let reason = format!(
            "{} searches at once, and {MOST_SEARCHES} at most",
            lines.len() / 2
        );
        return Err(shape::error(400, "illegal_argument_exception", &reason));
    }
    let mut answers: Vec<Vec<u8>> = vec![Vec::new(); lines.len() / 2];
    // Dropped with the connection, they have all left.
    let mut open = JoinSet::new();
    let done = |at: Result<(usize, Result<Vec<u8>, Answer>), _>, answers: &mut Vec<Vec<u8>>| {
        if let Ok((at, answer)) = at {
            answers[at] = answer_of(answer);
        }
    };
    for (at, pair) in lines.chunks(2).enumerate() {
        while open.len() >= AT_ONCE {
            if let Some(ended) = open.join_next().await {
                done(ended, &mut answers);
            }
        }
        let (line, body) = (pair[0].to_vec(), body.slice_ref(pair[1]));
        let (context, caller, mut parameters) =
            (context.clone(), caller.clone(), parameters.clone());
        let index = index.map(str::to_string);
        open.spawn_local(async move {
            let asked = async {
                let line: Line = if line.is_empty() {
                    Line::default()
                } else {
                    let read = serde_json::from_slice(&line);
                    read.map_err(|e| {
                        shape::error(
                            400,
                            "parsing_exception",
                            &format!("the line before it: {e}"),
                        )
                    })?
                };
                let named = line.index.as_ref().and_then(|index| match index {
                    Value::String(name) => Some(name.as_str()),
                    Value::Array(names) if names.len() == 1 => names[0].as_str(),
                    _ => None,
                });
                if line.index.is_some() && named.is_none() {
                    return Err(shape::error(
                        400,
                        "illegal_argument_exception",
                        "one search goes to one index here",
                    ));
                }
                if line.routing.is_some()
                    || line
                        .search_type
                        .is_some_and(|kind| kind != "query_then_fetch")
                {
                    let reason = "neither routing nor another search_type is supported here";
                    return Err(shape::error(400, "illegal_argument_exception", reason));
                }
                if let Some(preference) = line.preference {
                    parameters.only =
                        read_parameters("/_msearch", Some(&format!("preference={preference}")))?
                            .only;
                }
                parameters.partial = line.allow_partial_search_results.or(parameters.partial);
                let name = named.or(index.as_deref()).unwrap_or("_all");
                search(&context, arrived, name, &caller, &parameters, &body).await
            };
            (at, asked.await)
        });
    }
    while let Some(ended) = open.join_next().await {
        done(ended, &mut answers);
    }
    let mut body =
        format!("{{\"took\":{},\"responses\":[", began.elapsed().as_millis()).into_bytes();
    body.extend(answers.join(&b','));
    body.extend_from_slice(b"]}");
    Ok(body)
}

/// One answer of several: with its status in it.
fn answer_of(answer: Result<Vec<u8>, Answer>) -> Vec<u8> {
    match answer {
        Ok(mut body) if body.last() == Some(&b'}') => {
            body.pop();
            body.extend_from_slice(b",\"status\":200}");
            body
        }
        Ok(body) => body,
        Err(answer) => serde_json::to_vec(&answer.body).unwrap_or_default(),
    }
}
