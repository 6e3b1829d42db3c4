//! Conversion of nested JSON settings to `path=value` lines, the input of the settings parser.

use super::ConfigError;
use serde_json::Value;
use std::fmt::Write;

/// Renders a JSON object as one `path=value` line per scalar. The segments of a path are separated by dots.
///
/// A list of objects becomes `path.count` and `path.0`, `path.1`, ...; a list of scalars becomes one line with
/// comma-separated values.
///
/// # Errors
/// [`ConfigError::SettingsNotAnObject`] if `settings` is not an object.
pub fn flatten(settings: &Value) -> Result<String, ConfigError> {
    if !settings.is_object() {
        return Err(ConfigError::SettingsNotAnObject);
    }
    let mut lines = String::new();
    append_value(&mut lines, "", settings);
    Ok(lines)
}

fn append_value(lines: &mut String, path: &str, value: &Value) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                append_value(lines, &child_path(path, name), field);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            append_value(lines, &child_path(path, "count"), &items.len().into());
            for (index, item) in items.iter().enumerate() {
                append_value(lines, &child_path(path, &index.to_string()), item);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(scalar_text).collect();
            append_line(lines, path, &items.join(","));
        }
        scalar => append_line(lines, path, &scalar_text(scalar)),
    }
}

fn append_line(lines: &mut String, path: &str, value: &str) {
    // Writing to a string can't fail.
    let _ = writeln!(lines, "{path}={value}");
}

fn child_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

/// Renders a scalar and replaces separators: a space or comma would split the value, a line break would inject another
/// setting.
fn scalar_text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.replace([' ', ',', '\n', '\r'], "_"),
        other => other.to_string(),
    }
}
