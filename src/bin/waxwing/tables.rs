//! Columns of text.

/// Rows under a heading, each column as wide as its widest cell.
pub struct Table {
    heading: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table.
    pub fn new(heading: &[&'static str]) -> Self {
        Self { heading: heading.to_vec(), rows: Vec::new() }
    }

    /// Adds a row, a cell for each column.
    pub fn push<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// The table, a line for the heading and for each row.
    pub fn lines(&self) -> Vec<String> {
        let heading: Vec<String> = self.heading.iter().map(ToString::to_string).collect();
        let all: Vec<&Vec<String>> = std::iter::once(&heading).chain(&self.rows).collect();
        let width = |column: usize| {
            all.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count()).max()
        };
        let widths: Vec<usize> = (0..heading.len()).map(|n| width(n).unwrap_or(0)).collect();
        all.iter().map(|row| align(row, &widths)).collect()
    }
}

fn align(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}"));
    cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
}
