//! `clementinectl check --routing`: checks the configuration of entries that reach
//! backend servers themselves.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;

use clementine_objects::check_routing;
use clementine_platform::config::decode_declared_routing;
use compact_str::CompactString;
use serde_json::Value;

use super::check::report;
use crate::error::CliError;
use crate::files::read_text;

/// Number of servers of a pool, `POOL=N`.
pub(super) type PoolSize = (CompactString, u32);

/// Parses `POOL=N`.
pub(super) fn parse_pool_size(text: &str) -> Result<PoolSize, String> {
    let (pool, servers) = text.split_once('=').ok_or("expected POOL=N")?;
    let servers = servers.parse().map_err(|_| format!("`{servers}` is not a number"))?;
    Ok((pool.into(), servers))
}

/// Reports the findings of a routing configuration, and the differences from the one in
/// force.
pub(super) fn run(
    file: &Path,
    against: Option<&Path>,
    sizes: impl Iterator<Item = PoolSize>,
) -> Result<ExitCode, CliError> {
    let text = read_text(file)?;
    let routing = match decode_declared_routing(text.as_bytes()) {
        Ok(routing) => routing,
        Err(error) => return Ok(report(&[format!("error: {}: {error}", file.display())])),
    };
    let servers: BTreeMap<_, _> = sizes.collect();
    let found = check_routing(&routing, &servers);
    let lines = found.iter().map(|finding| format!("finding: {}: {finding}", file.display()));
    let mut lines: Vec<String> = lines.collect();
    if let Some(path) = against {
        let base = parse(path, &read_text(path)?)?;
        lines.extend(differences(&base, &parse(file, &text)?));
    }
    Ok(report(&lines))
}

fn parse(path: &Path, text: &str) -> Result<Value, CliError> {
    let invalid =
        |error| CliError::Invalid { errors: vec![format!("{}: {error}", path.display())] };
    serde_json::from_str(text).map_err(invalid)
}

/// Settings of a document that are added (`+`), changed (`~`) or removed (`-`), one line
/// each. Elements of lists are compared by their names.
fn differences(in_force: &Value, document: &Value) -> Vec<String> {
    let (before, after) = (settings(in_force), settings(document));
    let changed = after.iter().filter_map(|(label, value)| match before.get(label) {
        None => Some(format!("+ {label}")),
        Some(other) if other != value => Some(format!("~ {label}")),
        Some(_) => None,
    });
    let removed = before.keys().filter(|label| !after.contains_key(*label));
    changed.chain(removed.map(|label| format!("- {label}"))).collect()
}

/// The settings of a document by label: the name of a field, for elements of lists with
/// their own names.
fn settings(document: &Value) -> BTreeMap<String, &Value> {
    let mut settings = BTreeMap::new();
    for (field, value) in document.as_object().into_iter().flatten() {
        let Some(list) = value.as_array() else {
            settings.insert(field.clone(), value);
            continue;
        };
        for (i, element) in list.iter().enumerate() {
            let name = element.get("name").and_then(Value::as_str);
            let name = name.map_or_else(|| i.to_string(), str::to_owned);
            settings.insert(format!("{field} `{name}`"), element);
        }
    }
    settings
}
