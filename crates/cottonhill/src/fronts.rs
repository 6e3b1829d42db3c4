//! Fronts of other protocols, as the settings ask for them.

use crate::output::Failure;
use crate::settings;
use cottonhill_ini::Settings;
use cottonhill_mixer::transport::StartFront;
use cottonhill_opensearch::front;
use cottonhill_opensearch::index::Front;
use tokio::net::TcpListener;

/// Opens the listeners of all fronts that are on.
pub async fn open(own: &Settings) -> Result<Vec<StartFront>, Failure> {
    let Some(opensearch) = Front::read(own, &settings::SCHEMA).map_err(Failure::configuration)? else {
        return Ok(Vec::new());
    };
    let at = opensearch.listen;
    let listener = TcpListener::bind(at).await;
    let listener = listener.map_err(|e| Failure::running(format!("cannot listen on {at}: {e}")))?;
    tracing::info!(address = %at, indices = opensearch.indices.len(), "OpenSearch-style front");
    Ok(vec![Box::new(move |door| front::start(opensearch, listener, door))])
}
