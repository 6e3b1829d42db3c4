//! The two input files of the commands: the configuration of a mixer, a JSON file that the platform on which the mixer
//! is deployed provides, and the settings, an INI file that the operator writes.

use crate::error::{CommandError, ConfigurationError};
use crate::schema::SCHEMA;
use cottonhill_ini::Settings;
use cottonhill_mixer::config::Config;
use std::path::{Path, PathBuf};

/// The options that name the files; every command accepts them. The comments on the fields are the help texts.
#[derive(clap::Args, Clone)]
pub struct InputFiles {
    /// The platform's configuration of this mixer, in JSON
    #[arg(long, env = "BALANCER_CONFIG", global = true, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Settings in INI format; the defaults apply without it
    #[arg(long, env = "COTTONHILL_SETTINGS", global = true, value_name = "FILE")]
    pub settings: Option<PathBuf>,
}

impl InputFiles {
    /// Reads the settings file that the command line or the environment names; returns the defaults if neither does.
    ///
    /// # Errors
    /// The file can't be read, or contains unknown keys or invalid values.
    pub fn read_settings(&self) -> Result<Settings, CommandError> {
        let Some(path) = &self.settings else {
            return Ok(Settings::defaults());
        };
        let text = std::fs::read_to_string(path).map_err(|source| {
            ConfigurationError::UnreadableSettings {
                path: path.clone(),
                source,
            }
        })?;
        Ok(Settings::parse(
            &SCHEMA,
            &path.display().to_string(),
            &text,
        )?)
    }
}

/// Reads the configuration of a mixer, a JSON file.
///
/// # Errors
/// The file can't be read, or is malformed.
pub fn read_configuration(path: &Path) -> Result<Config, ConfigurationError> {
    let text = std::fs::read_to_string(path).map_err(|source| {
        ConfigurationError::UnreadableConfiguration {
            path: path.to_path_buf(),
            source,
        }
    })?;
    Config::parse(&text).map_err(|error| ConfigurationError::InvalidConfiguration {
        path: path.to_path_buf(),
        reason: error.to_string(),
    })
}
