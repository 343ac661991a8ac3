//! Least-squares fits of a few terms, and summaries of repeated measurements.

/// A smaller pivot counts as zero, because the terms are then linearly dependent on the given samples.
const SMALLEST_PIVOT: f64 = 1e-12;

/// One measurement: the values of the terms and the measured figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The values of the terms.
    pub terms: Vec<f64>,
    /// The measured figure.
    pub value: f64,
}

/// A linear combination of terms, fitted to measurements.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// The coefficient of each term.
    pub coefficients: Vec<f64>,
    /// The largest absolute residual, relative to the largest figure.
    pub max_residual: f64,
}

/// Fits a linear combination of the terms to the figures with the normal equations. Returns `None` if the terms are
/// linearly dependent on these samples.
pub fn fit(samples: &[Sample]) -> Option<Fit> {
    let count = samples.first()?.terms.len();
    // Each term is divided by its largest value, so that the sums in the elimination have similar magnitudes.
    let scales: Vec<f64> =
        (0..count).map(|term| largest(samples.iter().map(|sample| sample.terms[term]))).collect();
    let mut matrix = normal_equations(samples, &scales);
    eliminate(&mut matrix)?;
    let coefficients: Vec<f64> =
        (0..count).map(|term| matrix[term][count] / matrix[term][term] / scales[term]).collect();
    let max_residual = max_residual(samples, &coefficients);
    Some(Fit { coefficients, max_residual })
}

fn largest(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(0.0, |largest: f64, value| largest.max(value.abs()))
}

/// Returns one row for each term: the products of the term with all terms, and in the last column with the figures.
fn normal_equations(samples: &[Sample], scales: &[f64]) -> Vec<Vec<f64>> {
    let count = scales.len();
    let mut matrix = vec![vec![0.0; count + 1]; count];
    for sample in samples {
        let scaled: Vec<f64> = sample.terms.iter().zip(scales).map(|(term, scale)| term / scale).collect();
        for (row, own) in matrix.iter_mut().zip(&scaled) {
            for (cell, other) in row.iter_mut().zip(&scaled) {
                *cell += own * other;
            }
            row[count] += own * sample.value;
        }
    }
    matrix
}

/// Runs Gauss-Jordan elimination with the largest pivot of each column. Returns `None` if a column has no usable pivot.
fn eliminate(matrix: &mut [Vec<f64>]) -> Option<()> {
    let count = matrix.len();
    for column in 0..count {
        let largest_row =
            (column..count).max_by(|a, b| matrix[*a][column].abs().total_cmp(&matrix[*b][column].abs()))?;
        matrix.swap(column, largest_row);
        if matrix[column][column].abs() < SMALLEST_PIVOT {
            return None;
        }
        let pivot = matrix[column].clone();
        for (index, row) in matrix.iter_mut().enumerate() {
            if index == column {
                continue;
            }
            let factor = row[column] / pivot[column];
            for (cell, pivot_cell) in row.iter_mut().zip(&pivot) {
                *cell -= factor * pivot_cell;
            }
        }
    }
    Some(())
}

fn max_residual(samples: &[Sample], coefficients: &[f64]) -> f64 {
    let residual = |sample: &Sample| {
        let fitted: f64 = sample.terms.iter().zip(coefficients).map(|(term, factor)| term * factor).sum();
        sample.value - fitted
    };
    let largest_residual = largest(samples.iter().map(residual));
    let largest_value = largest(samples.iter().map(|sample| sample.value));
    largest_residual / largest_value.max(SMALLEST_PIVOT)
}

/// Median and spread of repeated measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// The median.
    pub median: f64,
    /// The smallest figure.
    pub min: f64,
    /// The largest figure.
    pub max: f64,
    /// Number of figures.
    pub count: usize,
}

/// Summarizes the figures. Without figures, all values are zero.
pub fn summarize(mut figures: Vec<f64>) -> Summary {
    figures.sort_by(f64::total_cmp);
    match (figures.first(), figures.last()) {
        (Some(min), Some(max)) => {
            let count = figures.len();
            Summary { median: figures[count / 2], min: *min, max: *max, count }
        }
        _ => Summary::default(),
    }
}
