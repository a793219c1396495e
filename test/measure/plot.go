package main

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// figure is a plot of one metric of a series over the offered load.
type figure struct {
	name   string
	yLabel string
	yValue func(row row) float64
}

var figures = []figure{
	{"goodput", "correct answers per second", func(row row) float64 { return row.report.GoodputPerSecond }},
	{"first-token", "time to first token, p95 in ms", func(row row) float64 { return row.report.TimeToFirstToken.P95MS }},
}

// draw writes one PNG file for each figure.
func draw(arguments arguments, rows []row) error {
	for _, figure := range figures {
		if err := figure.draw(arguments, rows); err != nil {
			return err
		}
	}
	return nil
}

func (figure figure) draw(arguments arguments, rows []row) error {
	chart := plot.New()
	chart.Title.Text = arguments.Series
	chart.X.Label.Text = "offered load as a fraction of capacity"
	chart.Y.Label.Text = figure.yLabel
	chart.Y.Min = 0
	chart.Legend.Top = true
	chart.Legend.Left = true
	var lines []any
	for _, policy := range policies {
		if points := figure.points(policy, rows); len(points) > 0 {
			lines = append(lines, policy, points)
		}
	}
	if err := plotutil.AddLinePoints(chart, lines...); err != nil {
		return err
	}
	return chart.Save(plotWidth, plotHeight, filepath.Join(arguments.Plots, arguments.Series+"-"+figure.name+".png"))
}

func (figure figure) points(policy string, rows []row) plotter.XYs {
	var points plotter.XYs
	for _, row := range rows {
		if row.trial.policy == policy {
			points = append(points, plotter.XY{X: row.trial.loadRatio, Y: figure.yValue(row)})
		}
	}
	return points
}
