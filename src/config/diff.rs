//! Differences between two texts of a file.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Longest texts that are compared line by line; beyond, only the counts are told.
const MAX_COMPARED: usize = 1_000;

/// Lines that differ.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Diff {
    pub lines: Vec<Line>,
}

/// A line that is in one text only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Counted from one, in the text that has the line.
    pub number: usize,
    pub side: Side,
    pub text: String,
}

/// Which text has the line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Side {
    Old,
    New,
}

impl Diff {
    /// Compares two texts by line.
    pub fn new(old: &str, new: &str) -> Self {
        let old: Vec<&str> = old.lines().collect();
        let new: Vec<&str> = new.lines().collect();
        let head = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
        let rest = old.len().min(new.len()) - head;
        let tail = old.iter().rev().zip(new.iter().rev()).take(rest);
        let tail = tail.take_while(|(a, b)| a == b).count();
        let (old, new) = (&old[head..old.len() - tail], &new[head..new.len() - tail]);
        let kept = if old.len().max(new.len()) > MAX_COMPARED {
            Vec::new()
        } else {
            common_lines(old, new)
        };
        Self { lines: changed_lines(old, new, &kept, head) }
    }

    /// Whether the texts have the same lines.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// The changes in one line, for the audit trail.
    pub fn summary(&self) -> String {
        let side = |side| self.lines.iter().filter(move |line| line.side == side);
        let (removed, added) = (side(Side::Old).count(), side(Side::New).count());
        let shown: Vec<String> = self.lines.iter().map(|line| line.to_string()).collect();
        format!("-{removed} +{added} lines: {}", shown.join(" | "))
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.side {
            Side::Old => '-',
            Side::New => '+',
        };
        write!(f, "{sign}{}: {}", self.number, self.text.trim())
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.lines.iter().try_for_each(|line| writeln!(f, "{line}"))
    }
}

/// Places of a longest common subsequence, as (old, new) pairs in order.
fn common_lines(old: &[&str], new: &[&str]) -> Vec<Pair> {
    let width = new.len() + 1;
    let mut longest = vec![0_u16; (old.len() + 1) * width];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            longest[i * width + j] = if old[i] == new[j] {
                longest[(i + 1) * width + j + 1] + 1
            } else {
                longest[(i + 1) * width + j].max(longest[i * width + j + 1])
            };
        }
    }
    let (mut i, mut j) = (0, 0);
    let mut pairs = Vec::new();
    while i < old.len() && j < new.len() {
        if old[i] == new[j] {
            pairs.push(Pair { old: i, new: j });
            i += 1;
            j += 1;
        } else if longest[(i + 1) * width + j] >= longest[i * width + j + 1] {
            i += 1;
        } else {
            j += 1;
        }
    }
    pairs
}

/// A line that both texts have.
struct Pair {
    old: usize,
    new: usize,
}

fn changed_lines(old: &[&str], new: &[&str], kept: &[Pair], offset: usize) -> Vec<Line> {
    let mut lines = Vec::new();
    let (mut i, mut j) = (0, 0);
    let end = Pair { old: old.len(), new: new.len() };
    for pair in kept.iter().chain(std::iter::once(&end)) {
        lines.extend((i..pair.old).map(|at| Line {
            number: offset + at + 1,
            side: Side::Old,
            text: old[at].to_owned(),
        }));
        lines.extend((j..pair.new).map(|at| Line {
            number: offset + at + 1,
            side: Side::New,
            text: new[at].to_owned(),
        }));
        (i, j) = (pair.old + 1, pair.new + 1);
    }
    lines
}
