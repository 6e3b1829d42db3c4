//! Fronts of other protocols, as the settings ask for them.

use crate::output::Failure;
use crate::settings;
use cottonhill_ini::Settings;
use cottonhill_mixer::transport::StartFront;
use cottonhill_opensearch::front;
use cottonhill_opensearch::index::Front;
use cottonhill_opensearch::tls::Tls;
use std::rc::Rc;
use tokio::net::TcpListener;

/// The fronts that are on, and what a reload of them reads again.
#[derive(Default)]
pub struct Fronts {
    pub start: Vec<StartFront>,
    pub tls: Option<Rc<Tls>>,
}

/// Opens the listeners of all fronts that are on.
pub async fn open(own: &Settings) -> Result<Fronts, Failure> {
    let Some(opensearch) = Front::read(own, &settings::SCHEMA).map_err(Failure::configuration)?
    else {
        return Ok(Fronts::default());
    };
    let tls = match opensearch.tls.clone() {
        Some(files) => Some(Rc::new(Tls::load(files).map_err(Failure::configuration)?)),
        None => None,
    };
    let at = opensearch.listen;
    let listener = TcpListener::bind(at).await;
    let listener = listener.map_err(|e| Failure::running(format!("cannot listen on {at}: {e}")))?;
    tracing::info!(address = %at, indices = opensearch.indices.len(), tls = tls.is_some(), "OpenSearch-style front");
    let with = tls.clone();
    Ok(Fronts {
        start: vec![Box::new(move |queries| {
            front::start(opensearch, with, listener, queries)
        })],
        tls,
    })
}
