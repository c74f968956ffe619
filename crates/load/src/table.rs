//! Text tables with aligned columns.

/// Returns `rows` as lines with the first column aligned left and the others aligned right.
pub(crate) fn format(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let widths: Vec<usize> = (0..columns).map(|column| width(rows, column)).collect();
    rows.iter().map(|row| line(row, &widths)).collect()
}

fn width(rows: &[Vec<String>], column: usize) -> usize {
    let cells = rows.iter().filter_map(|row| row.get(column));
    cells
        .map(|cell| cell.chars().count())
        .max()
        .unwrap_or_default()
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths).enumerate();
    let cells: Vec<_> = cells
        .map(|(column, (cell, width))| match column {
            0 => format!("{cell:<width$}"),
            _ => format!("{cell:>width$}"),
        })
        .collect();
    format!("{}\n", cells.join("  ").trim_end())
}
