//! Fits of measurements to the terms that a figure is expected to depend on.
use crate::bench::print_spread;
use quincehatch_capacity::fit::{Sample, fit, summarize};

/// A term of a fit, as a function of one size.
#[derive(Clone, Copy)]
pub(super) struct Term {
    pub(super) name: &'static str,
    pub(super) value: fn(f64) -> f64,
}

pub(super) const CONSTANT: Term = Term { name: "", value: |_| 1.0 };
pub(super) const LINEAR: Term = Term { name: "n", value: |size| size };
pub(super) const QUADRATIC: Term = Term { name: "n²", value: |size| size * size };

/// A figure that is measured at several sizes.
pub(super) struct Series<'series> {
    pub(super) name: &'series str,
    pub(super) unit: &'series str,
    pub(super) sizes: &'series [usize],
    pub(super) terms: &'series [Term],
}

impl<'series> Series<'series> {
    /// Measures `rounds` times at each size and prints the spreads, and the fit of the medians.
    pub(super) fn run(&self, rounds: usize, measure: impl Fn(usize) -> f64) {
        let mut samples = Vec::new();
        for size in self.sizes {
            let figures: Vec<f64> = (0..rounds).map(|_| measure(*size)).collect();
            let terms = self.terms.iter().map(|term| (term.value)(*size as f64)).collect();
            samples.push(Sample { terms, value: median(&figures) });
            print_spread(&format!("{} {size}", self.name), self.unit, figures);
        }
        let names: Vec<&str> = self.terms.iter().map(|term| term.name).collect();
        print_fit(self.name, self.unit, &names, &samples);
    }
}

pub(super) fn median(figures: &[f64]) -> f64 {
    summarize(figures.to_vec()).median
}

/// Prints the sum of terms that fits the samples best.
pub(super) fn print_fit(name: &str, unit: &str, terms: &[&str], samples: &[Sample]) {
    let Some(fitted) = fit(samples) else {
        println!("= {name}: no fit");
        return;
    };
    let mut sum = Vec::new();
    for (coefficient, term) in fitted.coefficients.iter().zip(terms) {
        sum.push(format!("{coefficient:.4e} {term}"));
    }
    let max_residual_percent = fitted.max_residual * 100.0;
    println!("= {name}: {} {unit}; off by {max_residual_percent:.1} % at most", sum.join(" + "));
}
