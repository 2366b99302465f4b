// Package fitter fits a straight line to measured points by least squares.
//
// # Usage
//
//	line := fitter.Fit([]fitter.Point{{X: 500, Y: 0.1}, {X: 1000, Y: 0.19}, {X: 2000, Y: 0.4}})
package fitter

import "math"

// Point is one measurement: the value Y at the setting X.
type Point struct{ X, Y float64 }

// Line is y = Base + Slope x. Error is the root mean square of the residuals in units of y.
type Line struct{ Base, Slope, Error float64 }

// Fit returns the line with the least sum of squared residuals. At least two points must have different X; otherwise
// the result is not finite.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
	}
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	line := Line{Base: (sumY - slope*sumX) / n, Slope: slope}
	var squares float64
	for _, p := range points {
		residual := p.Y - line.Base - line.Slope*p.X
		squares += residual * residual
	}
	line.Error = math.Sqrt(squares / n)
	return line
}
