//! Reload of the configuration, the settings and the TLS certificate on SIGHUP.

use crate::error::CommandError;
use crate::files::{self, InputFiles};
use crate::log_targets::PROGRAM;
use crate::logging::Logging;
use crate::schema::SCHEMA;
use cottonhill_ini::Settings;
use cottonhill_mixer::config::Config;
use cottonhill_mixer::transport::Addresses;
use cottonhill_opensearch::tls::Tls;
use std::path::Path;
use std::rc::Rc;

/// The configuration and settings at the start of a mixer, and the parts that a reload changes.
pub struct MixerContext {
    /// Paths of the configuration and the settings.
    pub files: InputFiles,
    /// The configuration at the start.
    pub config: Config,
    /// The settings at the start.
    pub settings: Settings,
    /// The running logger.
    pub logging: Logging,
    /// Certificate and key of the OpenSearch front; `None` if it is off or serves plain HTTP.
    pub tls: Option<Rc<Tls>>,
}

impl MixerContext {
    /// Reads all files again and returns the addresses of the new configuration, or `None` if the configuration is
    /// invalid or none is named. A file that does not parse is not applied and its previous values stay in force. Of the
    /// settings only the schema and the log filter are checked, unlike by `cottonhill check`.
    pub fn reload(&self) -> Option<Addresses> {
        self.reload_settings();
        self.reload_certificate();
        self.reload_configuration(self.files.config.as_ref()?)
    }

    fn reload_settings(&self) {
        match self.apply_settings() {
            Ok(settings) => {
                let restart = self
                    .settings
                    .changes_requiring_restart(&settings, &SCHEMA)
                    .join(", ");
                if !restart.is_empty() {
                    tracing::warn!(
                        target: PROGRAM,
                        needs_restart = restart,
                        "changed settings need a restart"
                    );
                }
            }
            Err(error) => {
                tracing::error!(target: PROGRAM, "settings reload failed, previous settings stay in force: {error}");
            }
        }
    }

    fn apply_settings(&self) -> Result<Settings, CommandError> {
        let settings = self.files.read_settings()?;
        self.logging.reload(&settings)?;
        Ok(settings)
    }

    fn reload_certificate(&self) {
        let Some(tls) = &self.tls else { return };
        match tls.reload() {
            Ok(()) => tracing::info!(target: PROGRAM, "certificate and key reloaded"),
            Err(error) => {
                tracing::error!(target: PROGRAM, "certificate reload failed, previous certificate stays in force: {error}");
            }
        }
    }

    fn reload_configuration(&self, path: &Path) -> Option<Addresses> {
        let config = match files::read_configuration(path) {
            Ok(config) => config,
            Err(error) => {
                tracing::error!(target: PROGRAM, "configuration reload failed, previous configuration stays in force: {error}");
                return None;
            }
        };
        let restart = self.config.changes_requiring_restart(&config).join(", ");
        if !restart.is_empty() {
            tracing::warn!(
                target: PROGRAM,
                needs_restart = restart,
                "changed configuration needs a restart"
            );
        }
        let addresses = config.addresses;
        tracing::info!(target: PROGRAM, discovery = %addresses.discovery, "configuration reloaded");
        Some(addresses)
    }
}
