//! The frontends that the settings enable. A frontend serves queries over another protocol than the
//! mixer's own; the only one is the OpenSearch front.

use super::listener;
use crate::error::{CommandError, ConfigurationError};
use crate::log_targets::FRONTENDS;
use crate::schema::SCHEMA;
use cottonhill_ini::Settings;
use cottonhill_mixer::transport::FrontendStarter;
use cottonhill_opensearch::front;
use cottonhill_opensearch::index::FrontSettings;
use cottonhill_opensearch::tls::{Tls, TlsFiles};
use std::rc::Rc;

/// The enabled frontends.
#[derive(Default)]
pub struct Frontends {
    /// Functions that start them once the transport runs.
    pub start: Vec<FrontendStarter>,
    /// Certificate and key of the OpenSearch front, which a reload reads again; `None` if it serves plain HTTP.
    pub tls: Option<Rc<Tls>>,
}

/// Opens the listeners of all enabled frontends.
///
/// # Errors
/// The settings or a certificate can't be used, or an address can't be bound.
pub async fn open(settings: &Settings) -> Result<Frontends, CommandError> {
    let Some(opensearch) = FrontSettings::read(settings, &SCHEMA)? else {
        return Ok(Frontends::default());
    };
    let tls = opensearch.tls.clone().map(load_tls).transpose()?;
    let address = opensearch.listen;
    let listener = listener::bind(address).await?;
    tracing::info!(
        target: FRONTENDS,
        %address,
        indices = opensearch.indices.len(),
        tls = tls.is_some(),
        "OpenSearch front listening"
    );
    let front_tls = tls.clone();
    let start: FrontendStarter = Box::new(move |queries, guard| {
        front::start(opensearch, front_tls, listener, queries, guard)
    });
    Ok(Frontends {
        start: vec![start],
        tls,
    })
}

fn load_tls(files: TlsFiles) -> Result<Rc<Tls>, ConfigurationError> {
    Tls::load(files)
        .map(Rc::new)
        .map_err(|error| ConfigurationError::InvalidCertificate(error.to_string()))
}
