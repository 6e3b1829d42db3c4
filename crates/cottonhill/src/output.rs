//! Output of the commands: tables for people, JSON and CSV for programs.

use crate::error::{CommandError, CommandResult, RuntimeError};
use clap::ValueEnum;
use comfy_table::Table;
use serde_json::Value;
use std::io::{self, ErrorKind, Write};

/// The output format of a table. The variants have no doc comments because clap would print them in the help texts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    #[default]
    Table,
    Json,
    Csv,
}

/// The option that selects the output format. The comment on the field is the help text.
#[derive(clap::Args)]
pub struct FormatOption {
    /// Output format: table for people, JSON or CSV for programs
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
}

/// Writes to standard output. A pipe that its reader has closed is not an error.
///
/// # Errors
/// Standard output can't be written.
pub fn print(bytes: &[u8]) -> CommandResult {
    let mut output = io::stdout().lock();
    match output.write_all(bytes).and_then(|()| output.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            Err(RuntimeError::StandardOutput(error).into())
        }
        _ => Ok(()),
    }
}

/// A table for people, without borders.
pub fn text_table<T: ToString>(header: impl IntoIterator<Item = T>) -> Table {
    let mut table = Table::new();
    let header = header.into_iter().map(|name| name.to_string());
    table
        .load_preset(comfy_table::presets::NOTHING)
        .set_header(header);
    table
}

/// Rows of named columns, printed in the selected format.
pub struct ResultTable {
    columns: Vec<&'static str>,
    rows: Vec<Vec<Value>>,
}

impl ResultTable {
    /// A table with these columns and no rows.
    pub fn new(columns: &[&'static str]) -> ResultTable {
        ResultTable {
            columns: columns.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Appends a row with one value for each column.
    pub fn push(&mut self, row: Vec<Value>) {
        self.rows.push(row);
    }

    /// Prints the table.
    ///
    /// # Errors
    /// Standard output can't be written.
    pub fn print(self, format: Format) -> CommandResult {
        let bytes = match format {
            Format::Table => self.to_text().into_bytes(),
            Format::Json => self.into_json().into_bytes(),
            Format::Csv => self.to_csv()?,
        };
        print(&bytes)
    }

    fn to_text(&self) -> String {
        let mut table = text_table(self.columns.iter().map(|name| name.to_uppercase()));
        for row in &self.rows {
            table.add_row(row.iter().map(cell_text));
        }
        format!("{table}\n")
    }

    fn into_json(self) -> String {
        let columns = self.columns;
        let object = |row: Vec<Value>| {
            let names = columns.iter().map(|name| name.to_string());
            Value::Object(names.zip(row).collect())
        };
        let objects: Vec<Value> = self.rows.into_iter().map(object).collect();
        format!("{:#}\n", Value::Array(objects))
    }

    fn to_csv(&self) -> Result<Vec<u8>, CommandError> {
        let mut writer = csv::Writer::from_writer(Vec::new());
        writer
            .write_record(&self.columns)
            .map_err(RuntimeError::FormatCsv)?;
        for row in &self.rows {
            writer
                .write_record(row.iter().map(cell_text))
                .map_err(RuntimeError::FormatCsv)?;
        }
        let bytes = writer
            .into_inner()
            .map_err(|error| RuntimeError::FormatCsv(error.into_error().into()))?;
        Ok(bytes)
    }
}

fn cell_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}
