//! The URL parameters of a search.

use crate::dsl::{duration_ms, TrackTotalHits};
use crate::response::{self, RestResponse};

/// The URL parameters of a search. Of those that a body may contain, too, all but the timeout take precedence over it.
/// In an `_msearch`, the header line of a search takes precedence over the URL for `preferred_shards` and
/// `allow_partial_results`.
#[derive(Clone, Debug, Default)]
pub(super) struct Parameters {
    pub(super) from: Option<u64>,
    pub(super) size: Option<u64>,
    /// Applies only if the body has no timeout.
    pub(super) timeout_ms: Option<u64>,
    pub(super) track_total_hits: Option<TrackTotalHits>,
    /// The shards to search, if `preference` lists any.
    pub(super) preferred_shards: Option<Vec<u32>>,
    /// Whether a response from only some of the shards is allowed; it is if unset.
    pub(super) allow_partial_results: Option<bool>,
}

/// Parses the parameters of a query string.
///
/// # Errors
/// The response to the client if a parameter is unknown or invalid.
pub(super) fn parse_parameters(
    path: &str,
    query: Option<&str>,
) -> Result<Parameters, RestResponse> {
    let mut parameters = Parameters::default();
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
        let invalid = || {
            let reason = format!("Failed to parse value [{value}] of parameter [{name}]");
            response::error(400, "illegal_argument_exception", &reason)
        };
        let number = || value.parse::<u64>().map_err(|_| invalid());
        let flag = || match value.as_str() {
            "" | "true" => Ok(true),
            "false" => Ok(false),
            _ => Err(invalid()),
        };
        match name {
            "from" => parameters.from = Some(number()?),
            "size" => parameters.size = Some(number()?),
            "timeout" => parameters.timeout_ms = Some(duration_ms(&value).ok_or_else(invalid)?),
            "track_total_hits" => {
                parameters.track_total_hits = Some(
                    number()
                        .map(TrackTotalHits::UpTo)
                        .or_else(|_| flag().map(TrackTotalHits::Enabled))?,
                );
            }
            "allow_partial_search_results" => parameters.allow_partial_results = Some(flag()?),
            "preference" => {
                let shards = value.strip_prefix("_shards:").ok_or_else(invalid)?;
                let shards = shards.split('|').next().unwrap_or_default().split(',');
                let shards: Result<_, _> = shards
                    .map(|shard| shard.parse().map_err(|_| invalid()))
                    .collect();
                parameters.preferred_shards = Some(shards?);
            }
            // They change the formatting of a response, not its contents, and are ignored.
            "pretty" | "human" | "error_trace" => {}
            _ => {
                let reason = format!("request [{path}] contains unrecognized parameter: [{name}]");
                return Err(response::error(400, "illegal_argument_exception", &reason));
            }
        }
    }
    Ok(parameters)
}
