//! Straight lines through measured points.

/// One measurement.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    pub size: f64,
    pub cost: f64,
}

/// A fitted line.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    pub base: f64,
    pub slope: f64,
    /// Largest distance of a point from the line, as a share of the largest cost.
    pub residual: f64,
}

/// Least squares.
pub fn line(points: &[Point]) -> Line {
    let n = points.len() as f64;
    let mean = |f: fn(&Point) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.size), mean(|p| p.cost));
    let cov: f64 = points.iter().map(|p| (p.size - x) * (p.cost - y)).sum();
    let var: f64 = points.iter().map(|p| (p.size - x).powi(2)).sum();
    let slope = if var > 0.0 { cov / var } else { 0.0 };
    let base = y - slope * x;
    let largest = points.iter().map(|p| p.cost.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let off = points.iter().map(|p| (p.cost - base - slope * p.size).abs()).fold(0.0, f64::max);
    Line { base, slope, residual: off / largest }
}

/// Prints points and their line.
pub fn print(what: &str, unit: &str, per: &str, points: &[Point]) {
    let line = line(points);
    let sizes: Vec<String> = points.iter().map(|p| format!("{}: {:.3}", p.size, p.cost)).collect();
    println!(
        "{what:<34} {:>10.4} {unit} per {per} (base {:.3}, residual {:.0} %)  [{}]",
        line.slope,
        line.base,
        line.residual * 100.0,
        sizes.join(", ")
    );
}
