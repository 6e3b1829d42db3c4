//! Fronts of other protocols, as the settings ask for them.

use super::listener;
use crate::error::{CommandError, ConfigurationError};
use crate::log_targets::FRONTS;
use crate::schema::SCHEMA;
use cottonhill_ini::Settings;
use cottonhill_mixer::transport::FrontendStarter;
use cottonhill_opensearch::front;
use cottonhill_opensearch::index::FrontSettings;
use cottonhill_opensearch::tls::{Tls, TlsFiles};
use std::rc::Rc;

/// The fronts that are on.
#[derive(Default)]
pub struct Fronts {
    /// Starts each of them once the transport runs.
    pub start: Vec<FrontendStarter>,
    /// Certificate and key, which a reload reads again.
    pub tls: Option<Rc<Tls>>,
}

/// Opens the listeners of all fronts that are on.
///
/// # Errors
/// Settings or a certificate that can't be used, or an address that can't be bound.
pub async fn open(settings: &Settings) -> Result<Fronts, CommandError> {
    let Some(opensearch) = FrontSettings::read(settings, &SCHEMA)? else {
        return Ok(Fronts::default());
    };
    let tls = opensearch.tls.clone().map(load_tls).transpose()?;
    let address = opensearch.listen;
    let listener = listener::bind(address).await?;
    tracing::info!(
        target: FRONTS,
        %address,
        indices = opensearch.indices.len(),
        tls = tls.is_some(),
        "OpenSearch-style front listening"
    );
    let front_tls = tls.clone();
    let start: FrontendStarter =
        Box::new(move |queries| front::start(opensearch, front_tls, listener, queries));
    Ok(Fronts {
        start: vec![start],
        tls,
    })
}

fn load_tls(files: TlsFiles) -> Result<Rc<Tls>, ConfigurationError> {
    Tls::load(files)
        .map(Rc::new)
        .map_err(|error| ConfigurationError::InvalidCertificate(error.to_string()))
}
