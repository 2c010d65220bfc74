package reporter

import (
	"bytes"
	"html/template"
	"image/color"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgsvg" // Registers the SVG format.
)

// Sizes of the plots; barWidth is in points.
const (
	plotWidth  = 6.3 * vg.Inch
	plotHeight = 3.2 * vg.Inch
	barWidth   = 10
)

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Error budgets</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { padding: 0.3em 0.7em; border-bottom: 1px solid #ccc; text-align: left; }
.page { background: #f8c4c0; } .ticket { background: #fbe6b2; }
svg { max-width: 100%; height: auto; }
</style></head><body>
<h1>Error budgets</h1>
<p>At {{.Now}}. Burn rates have no unit: 1 spends the budget exactly in 3 days.</p>
{{if not .Groups}}<p>There are no events of the last 3 days, or no objectives.</p>{{end}}
{{range .Groups}}<h2>{{.Organisation}}</h2>
<table><tr><th>Objective</th><th>Goal</th><th>Alarm</th><th>Budget left</th><th>Burn 5m</th><th>Burn 1h</th><th>Burn 6h</th><th>Burn 3d</th></tr>
{{range .Lines}}<tr class="{{.State}}"><td>{{.Objective.Name}}</td><td>{{.Goal}}</td><td>{{.State}}</td><td>{{.BudgetText}}</td>{{range .Windows}}<td>{{.Text}}</td>{{end}}</tr>
{{end}}</table>
<p>{{.Burn}}{{.Good}}</p>
{{end}}</body></html>
`))

type organisationSection struct {
	Organisation string
	Lines        []ObjectiveStatus
	Burn         template.HTML
	Good         template.HTML
}

// HTML returns the report as a self-contained HTML page.
func (r Report) HTML() ([]byte, error) {
	var sections []organisationSection
	for _, l := range r.Lines {
		if len(sections) == 0 || sections[len(sections)-1].Organisation != l.Organisation {
			sections = append(sections, organisationSection{Organisation: l.Organisation})
		}
		last := &sections[len(sections)-1]
		last.Lines = append(last.Lines, l)
	}
	for i := range sections {
		// Sorted by name, so that an objective has the same colour for each organisation.
		lines := slices.SortedFunc(slices.Values(sections[i].Lines), func(a, b ObjectiveStatus) int {
			return strings.Compare(a.Objective.Name, b.Objective.Name)
		})
		var err error
		if sections[i].Burn, err = plotBurnRates(lines); err != nil {
			return nil, err
		}
		if sections[i].Good, err = plotGoodEvents(lines, r.Now); err != nil {
			return nil, err
		}
	}
	var out bytes.Buffer
	err := pageTemplate.Execute(&out, map[string]any{"Now": r.Now.UTC().Format(time.RFC3339), "Groups": sections})
	return out.Bytes(), errors.Wrap(err, "render the HTML report")
}

// plotBurnRates draws the burn rates by window and the thresholds of the alarms.
func plotBurnRates(lines []ObjectiveStatus) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Y.Min = "Burn rate by window", "burn rate", 0
	p.Legend.Top = true
	// With the legend on the left, the text follows the colour sample. A browser with a wider font then does not draw
	// one over the other.
	p.Legend.Left = true
	for i, l := range lines {
		values := plotter.Values{}
		for _, w := range l.Windows {
			values = append(values, w.Burn)
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return "", errors.Wrap(err, "plot the burn rates")
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(lines)-1)/2))
		p.Add(bars)
		p.Legend.Add(l.Objective.Name, bars)
	}
	for _, limit := range []float64{TicketBurnRate, PageBurnRate} {
		line := plotter.NewFunction(func(float64) float64 { return limit })
		line.Color, line.Dashes = color.Gray{Y: 128}, plotutil.Dashes(1)
		p.Add(line)
	}
	p.NominalX("5m", "1h", "6h", "3d")
	// Leave room for the legend above the bars and for the outermost bars beside the axis.
	p.Y.Max = max(p.Y.Max, PageBurnRate) * 1.4
	p.X.Min, p.X.Max = -0.5, windowCount-0.5
	return renderSVG(p)
}

// plotGoodEvents draws the share of good events in each bucket over time.
func plotGoodEvents(lines []ObjectiveStatus, now time.Time) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "Good events over time", "share of good events"
	p.X.Label.Text = "hours before the report"
	p.Legend.Left = true
	lowest := 0.9
	for i, l := range lines {
		points := plotter.XYs{}
		for _, point := range l.Points {
			if point.Total > 0 {
				good := float64(point.Good) / float64(point.Total)
				lowest = min(lowest, good)
				points = append(points, plotter.XY{X: -now.Sub(point.Start).Hours(), Y: good})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return "", errors.Wrap(err, "plot the good events")
		}
		line.Color, marks.Color = plotutil.Color(i), plotutil.Color(i)
		marks.Shape, marks.Radius = draw.CircleGlyph{}, vg.Points(1)
		p.Add(line, marks)
		p.Legend.Add(l.Objective.Name, line)
	}
	p.X.Max = 0
	p.Y.Min, p.Y.Max = lowest, 1+(1-lowest)/20
	// Without data points the x-axis has no minimum.
	if !(p.X.Min < p.X.Max) {
		p.X.Min = -1
	}
	return renderSVG(p)
}

func renderSVG(p *plot.Plot) (template.HTML, error) {
	image, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", errors.Wrap(err, "draw the plot")
	}
	var out bytes.Buffer
	if _, err := image.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "draw the plot")
	}
	// An XML declaration is not allowed inside an HTML document.
	text := out.Bytes()
	if start := bytes.Index(text, []byte("<svg")); start > 0 {
		text = text[start:]
	}
	return template.HTML(text), nil //nolint:gosec // Objective names are checked by the configuration and escaped by the SVG writer.
}
