//! Linear least squares and the median.

use serde::{Deserialize, Serialize};

/// The fitted line `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Increase of `y` per unit of `x`.
    pub slope: f64,
    /// `y` at zero.
    pub intercept: f64,
    /// Root mean square deviation of the points from the line, divided by the mean of `y`; 0 is a perfect fit.
    pub residual: f64,
    /// Number of fitted points.
    pub points: usize,
}

/// Fits a line to `(x, y)`; `None` for fewer than two distinct `x` or for non-finite values.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    if points.len() < 2 || points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
        return None;
    }
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let squares_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if squares_x == 0.0 {
        return None;
    }
    let slope = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum::<f64>()
        / squares_x;
    let intercept = mean_y - slope * mean_x;
    let squared_residuals: f64 = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).powi(2))
        .sum();
    let residual = if mean_y == 0.0 {
        0.0
    } else {
        (squared_residuals / count).sqrt() / mean_y.abs()
    };
    Some(Line {
        slope,
        intercept,
        residual,
        points: points.len(),
    })
}

/// The middle value, or the mean of the two middle values; `None` for an empty list.
pub fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let upper = *values.get(values.len() / 2)?;
    let lower = *values.get((values.len() - 1) / 2)?;
    Some((lower + upper) / 2.0)
}
