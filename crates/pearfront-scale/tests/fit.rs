//! Least-squares fits of points on known lines.

use pearfront_scale::fit::{Fit, Form};

fn sizes() -> [f64; 4] {
    [5.0, 50.0, 500.0, 5000.0]
}

#[test]
fn exact_line_is_fitted_with_its_range_and_no_error() {
    let points = sizes().map(|size| (size, 3.0 + 0.02 * size));
    let fit = Fit::new(Form::Linear, &points).unwrap();
    assert!((fit.fixed - 3.0).abs() < 1e-9 && (fit.slope - 0.02).abs() < 1e-12, "{fit:?}");
    assert!(fit.slope_error < 1e-9 && fit.farthest < 1e-9, "{fit:?}");
    assert_eq!((fit.least, fit.most, fit.points, fit.extrapolated(20_000.0)), (5.0, 5000.0, 4, 4.0));
    assert!((fit.crosses(43.0).unwrap() - 2000.0).abs() < 1e-6);
}

#[test]
fn largest_point_alone_does_not_determine_the_line() {
    // Points are weighted by relative error. Unweighted, the largest point would pull the line away from the smallest ones.
    let points = [(1.0, 1.0), (2.0, 2.0), (4.0, 4.0), (1000.0, 1100.0)];
    let fit = Fit::new(Form::Linear, &points).unwrap();
    assert!((fit.at(1.0) - 1.0).abs() < 0.1, "{fit:?}");
    assert!(fit.slope_error > 0.0 && fit.farthest > 0.01);
}

#[test]
fn square_logarithmic_and_constant_forms_are_fitted() {
    let square = Fit::new(Form::Square, &sizes().map(|size| (size, 2.0 * size * size))).unwrap();
    assert!((square.power - 2.0).abs() < 1e-9 && (square.slope - 2.0).abs() < 1e-9, "{square:?}");
    assert!((square.crosses(200.0).unwrap() - 10.0).abs() < 1e-9);
    let log = Fit::new(Form::Log, &sizes().map(|size| (size, 1.0 + 4.0 * size.log2()))).unwrap();
    assert!((log.slope - 4.0).abs() < 1e-9 && (log.crosses(13.0).unwrap() - 8.0).abs() < 1e-9, "{log:?}");
    let constant = Fit::new(Form::Constant, &sizes().map(|size| (size, 7.0))).unwrap();
    assert_eq!((constant.fixed, constant.slope, constant.crosses(8.0)), (7.0, 0.0, None));
    assert_eq!(constant.crosses(6.0), Some(1.0));
}

#[test]
fn points_without_a_line_are_rejected() {
    assert!(Fit::new(Form::Linear, &[(5.0, 1.0), (5.0, 2.0)]).unwrap_err().contains("two sizes"));
    assert!(Fit::new(Form::Linear, &[(5.0, f64::NAN), (6.0, 2.0)]).unwrap_err().contains("no number"));
}

#[test]
fn falling_figure_never_exceeds_a_bound() {
    let fit = Fit::new(Form::Linear, &[(1.0, 10.0), (2.0, 9.0), (4.0, 7.0)]).unwrap();
    assert!(fit.slope < 0.0);
    assert_eq!(fit.crosses(20.0), None);
}
