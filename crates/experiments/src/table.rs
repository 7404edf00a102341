//! Tables on the terminal.

/// The rule under a heading, up to its longest width.
const UNDERLINE: &str = "----------------------------------------";

/// Prints rows under a heading, each column as wide as it needs.
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
