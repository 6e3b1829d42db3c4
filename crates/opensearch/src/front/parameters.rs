//! The parameters of a search that stand in its URL.

use crate::dsl::{duration_ms, Track};
use crate::shape::{self, Answer};

/// The parameters of a search that stand in its URL, not in its body.
#[derive(Clone, Debug, Default)]
pub(super) struct Parameters {
    pub(super) from: Option<u64>,
    pub(super) size: Option<u64>,
    /// Milliseconds.
    pub(super) timeout: Option<u64>,
    pub(super) track: Option<Track>,
    /// The shards to ask, where `preference` names them.
    pub(super) only: Option<Vec<u32>>,
    /// Whether an answer from a part of the shards will do.
    pub(super) partial: Option<bool>,
}

/// Reads the parameters of a query string; the answer to the client if one is unknown or can't be used.
pub(super) fn read_parameters(path: &str, query: Option<&str>) -> Result<Parameters, Answer> {
    let mut all = Parameters::default();
    for pair in query
        .unwrap_or_default()
        .split('&')
        .filter(|pair| !pair.is_empty())
    {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let value = value
            .replace("%3A", ":")
            .replace("%3a", ":")
            .replace("%2C", ",")
            .replace("%2c", ",");
        let wrong = || {
            let reason = format!("Failed to parse value [{value}] of parameter [{name}]");
            shape::error(400, "illegal_argument_exception", &reason)
        };
        let number = || value.parse::<u64>().map_err(|_| wrong());
        let flag = || match value.as_str() {
            "" | "true" => Ok(true),
            "false" => Ok(false),
            _ => Err(wrong()),
        };
        match name {
            "from" => all.from = Some(number()?),
            "size" => all.size = Some(number()?),
            "timeout" => all.timeout = Some(duration_ms(&value).ok_or_else(wrong)?),
            "track_total_hits" => {
                all.track = Some(
                    number()
                        .map(Track::UpTo)
                        .or_else(|_| flag().map(Track::Flag))?,
                );
            }
            "allow_partial_search_results" => all.partial = Some(flag()?),
            "preference" => {
                let shards = value.strip_prefix("_shards:").ok_or_else(wrong)?;
                let shards = shards.split('|').next().unwrap_or_default().split(',');
                let shards: Result<_, _> = shards
                    .map(|shard| shard.parse().map_err(|_| wrong()))
                    .collect();
                all.only = Some(shards?);
            }
            // How the answer is written or named: nothing that it holds.
            "pretty" | "human" | "error_trace" => {}
            _ => {
                let reason = format!("request [{path}] contains unrecognized parameter: [{name}]");
                return Err(shape::error(400, "illegal_argument_exception", &reason));
            }
        }
    }
    Ok(all)
}
