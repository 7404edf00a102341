//! Tables on the terminal: [`print()`].

/// The line under a heading, cut to the width of each column.
const UNDERLINE: &str = "----------------------------------------";

/// Prints rows under a heading, each column as wide as its widest cell: the first one aligned to
/// the left, the others to the right.
pub(crate) fn print(heading: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].len());
        cells.chain([heading[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..heading.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let cells = cells.iter().zip(&widths).enumerate();
        let cells = cells.map(|(at, (cell, width))| match at {
            0 => format!("{cell:<width$}"),
            _ => format!("{cell:>width$}"),
        });
        println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    };
    line(heading.to_vec());
    line(widths.iter().map(|width| &UNDERLINE[..(*width).min(UNDERLINE.len())]).collect());
    for row in rows {
        line(row.iter().map(String::as_str).collect());
    }
}
