//! The settings of the settlement and the store that they name, which most ledger commands need.

use crate::error::{CommandError, ConfigurationError, RuntimeError, UsageError};
use crate::files::InputFiles;
use crate::schema::SCHEMA;
use cottonhill_ledger::period::Period;
use cottonhill_ledger::settings::LedgerSettings;
use cottonhill_ledger::settle::JoinLimits;
use cottonhill_ledger::store::Store;
use std::path::PathBuf;

/// The settings of the settlement and the path of its store.
pub struct LedgerContext {
    /// The settings of the settlement.
    pub settings: LedgerSettings,
    /// The store's file.
    pub store_path: PathBuf,
}

impl LedgerContext {
    /// Reads the settings.
    ///
    /// # Errors
    /// The settings are invalid or name no store.
    pub fn read(files: &InputFiles) -> Result<LedgerContext, CommandError> {
        let settings = LedgerSettings::read(&files.read_settings()?, &SCHEMA)?;
        let store_path = settings.store.clone();
        let store_path = store_path.ok_or(ConfigurationError::NoStore)?;
        Ok(LedgerContext {
            settings,
            store_path,
        })
    }

    /// Opens the store without creating it: a command that only reads must not leave an empty store behind.
    ///
    /// # Errors
    /// The store does not exist or can't be opened.
    pub fn open_existing_store(&self) -> Result<Store, RuntimeError> {
        if !self.store_path.exists() {
            return Err(RuntimeError::MissingStore(self.store_path.clone()));
        }
        Store::open(&self.store_path).map_err(|source| RuntimeError::OpenStore {
            path: self.store_path.clone(),
            source,
        })
    }

    /// The retry horizon and the maximum clock skew of the settings.
    pub fn bounds(&self) -> JoinLimits {
        JoinLimits {
            horizon_ms: self.settings.horizon_ms,
            skew_ms: self.settings.skew_ms,
        }
    }

    /// The period, closed or open, that starts at this timestamp (in the format of `ledger periods`).
    ///
    /// # Errors
    /// The text is not a timestamp, or no period starts there.
    pub fn find_period(&self, store: &Store, start: &str) -> Result<Period, CommandError> {
        let timestamp: jiff::Timestamp = start
            .parse()
            .map_err(|_| UsageError::InvalidTimestamp(start.to_string()))?;
        let start_ms = timestamp.as_millisecond();
        let stored = store.periods()?;
        let period = stored
            .into_iter()
            .map(|(period, _)| period)
            .find(|period| period.start == start_ms)
            .unwrap_or_else(|| self.settings.calendar.period_at(start_ms));
        if period.start != start_ms {
            return Err(UsageError::NoSuchPeriod {
                requested: start.to_string(),
                start: period.name(),
            }
            .into());
        }
        Ok(period)
    }
}
