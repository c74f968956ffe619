//! Compares two results.

use indexmap::IndexMap;

use crate::error;
use crate::table;

type Row = IndexMap<String, String>;

/// Returns the values that differ between two CSV results, side by side.
///
/// # Errors
///
/// Returns an error if one of the texts is not a CSV result of `ferry-load`.
pub fn compare(first: &str, second: &str) -> Result<String, error::Error> {
    let first = parse("the first file", first)?;
    let second = parse("the second file", second)?;
    let mut lines = vec![
        ["kind", "value", "first", "second", "change"]
            .map(String::from)
            .to_vec(),
    ];
    let mut names: Vec<_> = first.keys().chain(second.keys()).collect();
    names.sort_unstable();
    names.dedup();
    let empty = Row::new();
    for name in names {
        let first = first.get(name).unwrap_or(&empty);
        let second = second.get(name).unwrap_or(&empty);
        lines.extend(differences(name, first, second));
    }
    Ok(table::format(&lines))
}

fn differences(kind: &str, first: &Row, second: &Row) -> Vec<Vec<String>> {
    let added = second.keys().filter(|key| !first.contains_key(*key));
    let keys = first.keys().chain(added);
    let different = keys.filter(|key| first.get(*key) != second.get(*key));
    let lines = different.map(|key| {
        let first = first.get(key).cloned().unwrap_or_default();
        let second = second.get(key).cloned().unwrap_or_default();
        let change = relative_change(&first, &second);
        vec![kind.to_owned(), key.clone(), first, second, change]
    });
    lines.collect()
}

fn relative_change(first: &str, second: &str) -> String {
    match (first.parse::<f64>(), second.parse::<f64>()) {
        (Ok(first), Ok(second)) if first != 0.0 => {
            format!("{:+.1}%", 100.0 * (second - first) / first)
        }
        _ => String::new(),
    }
}

fn parse(name: &str, text: &str) -> Result<IndexMap<String, Row>, error::Error> {
    let mut lines = text.lines();
    let header = lines.next().unwrap_or_default();
    let columns: Vec<_> = header.split(',').collect();
    if columns.first() != Some(&"kind") {
        let context = format!("{name} is not a CSV result: its first column is not 'kind'");
        return Err(error::Error::file(context));
    }
    let rows = lines.enumerate().map(|(index, line)| {
        let cells: Vec<_> = line.split(',').map(str::to_owned).collect();
        if cells.len() != columns.len() {
            let context = format!(
                "{name}, line {}: {} cells, expected {}",
                index + 2,
                cells.len(),
                columns.len()
            );
            return Err(error::Error::file(context));
        }
        let keys = columns[1..].iter().map(|column| (*column).to_owned());
        let row = keys.zip(cells[1..].iter().cloned()).collect();
        Ok((cells[0].clone(), row))
    });
    rows.collect()
}
