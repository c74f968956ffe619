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
pub fn compare(left: &str, right: &str) -> Result<String, error::Error> {
    let left = parse("the first file", left)?;
    let right = parse("the second file", right)?;
    let mut lines = vec![
        ["kind", "value", "first", "second", "change"]
            .map(String::from)
            .to_vec(),
    ];
    let mut names: Vec<_> = left.keys().chain(right.keys()).collect();
    names.sort_unstable();
    names.dedup();
    let empty = Row::new();
    for name in names {
        let left = left.get(name).unwrap_or(&empty);
        let right = right.get(name).unwrap_or(&empty);
        lines.extend(differences(name, left, right));
    }
    Ok(table::format(&lines))
}

fn differences(kind: &str, left: &Row, right: &Row) -> Vec<Vec<String>> {
    let added = right.keys().filter(|key| !left.contains_key(*key));
    let keys = left.keys().chain(added);
    let different = keys.filter(|key| left.get(*key) != right.get(*key));
    let lines = different.map(|key| {
        let first = left.get(key).cloned().unwrap_or_default();
        let second = right.get(key).cloned().unwrap_or_default();
        let change = change(&first, &second);
        vec![kind.to_owned(), key.clone(), first, second, change]
    });
    lines.collect()
}

fn change(first: &str, second: &str) -> String {
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
