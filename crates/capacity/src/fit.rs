//! Least squares over a few terms, and what is left over.

/// The terms' coefficients, and the largest residual as a share of the largest figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    pub of: Vec<f64>,
    pub off: f64,
}

/// Fits `y` to the sum of `x`'s terms by the normal equations; none where they do not tell the terms apart.
pub fn fit(rows: &[(Vec<f64>, f64)]) -> Option<Fit> {
    let n = rows.first()?.0.len();
    // Each term in its own scale, so that the elimination's sums are of like size.
    let scale: Vec<f64> = (0..n).map(|i| rows.iter().fold(0.0, |m: f64, r| m.max(r.0[i].abs()))).collect();
    let x = |r: &(Vec<f64>, f64), i: usize| r.0[i] / scale[i];
    let mut m = vec![vec![0.0; n + 1]; n];
    for r in rows {
        for (i, row) in m.iter_mut().enumerate() {
            (0..n).for_each(|j| row[j] += x(r, i) * x(r, j));
            row[n] += x(r, i) * r.1;
        }
    }
    for i in 0..n {
        let p = (i..n).max_by(|a, b| m[*a][i].abs().total_cmp(&m[*b][i].abs()))?;
        m.swap(i, p);
        if m[i][i].abs() < 1e-12 {
            return None;
        }
        let pivot = m[i].clone();
        for (j, row) in m.iter_mut().enumerate().filter(|(j, _)| *j != i) {
            let k = row[i] / pivot[i];
            debug_assert!(j < n);
            row.iter_mut().zip(&pivot).for_each(|(a, b)| *a -= k * b);
        }
    }
    let of: Vec<f64> = (0..n).map(|i| m[i][n] / m[i][i] / scale[i]).collect();
    let said = |r: &(Vec<f64>, f64)| r.0.iter().zip(&of).map(|(x, c)| x * c).sum::<f64>();
    let top = rows.iter().fold(0.0, |m: f64, r| m.max(r.1.abs()));
    let off = rows.iter().fold(0.0, |m: f64, r| m.max((r.1 - said(r)).abs())) / top.max(1e-12);
    Some(Fit { of, off })
}

/// Median, least and most.
pub fn spread(mut v: Vec<f64>) -> (f64, f64, f64) {
    v.sort_by(f64::total_cmp);
    match (v.first(), v.last()) {
        (Some(lo), Some(hi)) => (v[v.len() / 2], *lo, *hi),
        _ => (0.0, 0.0, 0.0),
    }
}
