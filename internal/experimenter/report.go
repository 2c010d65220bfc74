package experimenter

import (
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgimg" // Writes png.
	_ "gonum.org/v1/plot/vg/vgsvg" // Writes svg.
)

// Report holds the results of an experiment.
type Report struct {
	Sections []Section
	Targets  []Target
	Charts   []Chart
}

// Section is a table with a heading.
type Section struct {
	Heading string
	Table   Table
}

// Table is a table of text cells.
type Table struct {
	Header []string
	Rows   [][]string
}

// String renders the table as Markdown.
func (t Table) String() string {
	var b strings.Builder
	line := func(cells []string) { fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | ")) }
	line(t.Header)
	b.WriteString(strings.Repeat("|---", len(t.Header)) + "|\n")
	for _, row := range t.Rows {
		line(row)
	}
	return b.String()
}

// Target is a measured figure and whether it meets its target in docs/design.md.
type Target struct {
	Name, Figure string
	Met          bool
}

// targetTable lists all targets and marks the missed ones in bold, so that they can't be overlooked.
func targetTable(targets []Target) Table {
	t := Table{Header: []string{"Target", "Figure", "Result"}}
	for _, target := range targets {
		result := "met"
		if !target.Met {
			result = "**missed**"
		}
		t.Rows = append(t.Rows, []string{target.Name, target.Figure, result})
	}
	return t
}

// WriteMarkdown writes the title, the sections and the table of targets as Markdown.
func (r Report) WriteMarkdown(w io.Writer, title string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n", title)
	for _, s := range r.Sections {
		fmt.Fprintf(&b, "\n## %s\n\n%s", s.Heading, s.Table)
	}
	fmt.Fprintf(&b, "\n## Against the targets\n\n%s", targetTable(r.Targets))
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write the tables")
}

// Chart is a dot plot with one row per group and one mark per series in each row.
type Chart struct {
	// Name is the suffix of the file name, after the experiment's name.
	Name, Title, Unit string
	Groups, Series    []string
	// Values is indexed by series, then by group. Negative values stand for missing ones and are not drawn.
	Values [][]float64
	// Log selects a logarithmic axis. Values below Floor are drawn at Floor.
	Log   bool
	Floor float64
	// Target is drawn as a line if it is not zero.
	Target float64
}

// newChart fills the chart's groups, series and values from rows. Groups and series keep the order of first appearance.
func newChart[R any](c Chart, rows []R, valueOf func(R) (group, series string, value float64)) Chart {
	indexOf := func(names *[]string, name string) int {
		for i, n := range *names {
			if n == name {
				return i
			}
		}
		*names = append(*names, name)
		return len(*names) - 1
	}
	for _, row := range rows {
		group, series, _ := valueOf(row)
		indexOf(&c.Groups, group)
		indexOf(&c.Series, series)
	}
	c.Values = make([][]float64, len(c.Series))
	for i := range c.Values {
		c.Values[i] = make([]float64, len(c.Groups))
		for j := range c.Values[i] {
			c.Values[i][j] = -1
		}
	}
	for _, row := range rows {
		group, series, value := valueOf(row)
		c.Values[indexOf(&c.Series, series)][indexOf(&c.Groups, group)] = value
	}
	return c
}

// chartColours also differ in lightness, so that marks can be distinguished in greyscale print.
var chartColours = []color.Color{
	color.RGBA{R: 0xd5, G: 0x20, B: 0x20, A: 255}, color.RGBA{R: 0x1f, G: 0x5f, B: 0xbf, A: 255},
	color.RGBA{R: 0x2c, G: 0x8c, B: 0x3c, A: 255}, color.RGBA{R: 0xe0, G: 0x90, B: 0x10, A: 255},
	color.RGBA{R: 0x80, G: 0x40, B: 0xa0, A: 255}, color.RGBA{R: 0x30, G: 0xb0, B: 0xc0, A: 255},
	color.RGBA{R: 0x80, G: 0x60, B: 0x40, A: 255}, color.RGBA{A: 255},
}

var chartShapes = []draw.GlyphDrawer{draw.CircleGlyph{}, draw.SquareGlyph{}, draw.TriangleGlyph{}, draw.PyramidGlyph{},
	draw.BoxGlyph{}, draw.RingGlyph{}, draw.PlusGlyph{}, draw.CrossGlyph{}}

// logTicks is plot.LogTicks without the ticks outside the range, because the plot would leave room for them.
type logTicks struct{}

// Ticks implements plot.Ticker.
func (logTicks) Ticks(low, high float64) []plot.Tick {
	return slices.DeleteFunc(plot.LogTicks{Prec: -1}.Ticks(low, high), func(t plot.Tick) bool { return t.Value < low || t.Value > high })
}

// Write draws the chart to a file. The extension of path, svg or png, selects the format.
func (c Chart) Write(path string) (err error) {
	const width, legendWidth, rowHeight, frame = vg.Length(740), vg.Length(230), vg.Length(37), vg.Length(85)
	p, legend := plot.New(), plot.NewLegend()
	p.Title.Text, p.X.Label.Text = c.Title, c.Unit
	legend.Top, legend.Left, legend.Padding = true, true, vg.Points(3)
	p.X.Min = c.Floor
	if c.Log {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, logTicks{}
	}
	grid := plotter.NewGrid()
	grid.Horizontal.Width = 0
	p.Add(grid)
	for i, series := range c.Series {
		var points plotter.XYs
		for j, value := range c.Values[i] {
			if value < 0 {
				continue
			}
			// The first group is the top row, and the first series is the top mark in each row.
			offset := 0.35 - 0.7*float64(i)/float64(max(1, len(c.Series)-1))
			points = append(points, plotter.XY{X: max(value, c.Floor), Y: float64(len(c.Groups)-1-j) + offset})
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return errors.Wrapf(err, "draw %s of chart %s", series, c.Name)
		}
		scatter.GlyphStyle = draw.GlyphStyle{Color: chartColours[i%len(chartColours)], Shape: chartShapes[i%len(chartShapes)], Radius: vg.Points(3.5)}
		p.Add(scatter)
		legend.Add(series, scatter)
	}
	if c.Target > 0 {
		line, err := plotter.NewLine(plotter.XYs{{X: c.Target, Y: -0.5}, {X: c.Target, Y: float64(len(c.Groups)) - 0.5}})
		if err != nil {
			return errors.Wrapf(err, "draw the target of chart %s", c.Name)
		}
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		p.Add(line)
		legend.Add(fmt.Sprintf("target: at most %g", c.Target), line)
	}
	names := make([]string, len(c.Groups))
	for j, group := range c.Groups {
		names[len(names)-1-j] = group
	}
	p.NominalY(names...)
	p.Y.Min, p.Y.Max = -0.5, float64(len(c.Groups))-0.5
	canvas, err := draw.NewFormattedCanvas(width, frame+rowHeight*vg.Length(len(c.Groups)), strings.TrimPrefix(filepath.Ext(path), "."))
	if err != nil {
		return errors.Wrapf(err, "draw %s", path)
	}
	full := draw.New(canvas)
	p.Draw(draw.Crop(full, vg.Points(10), -legendWidth, 0, -vg.Points(4)))
	legend.Draw(draw.Crop(full, width-legendWidth+vg.Points(12), 0, 0, -vg.Points(24)))
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create the chart file; choose a writable directory with --out")
	}
	defer func() { err = errors.CombineErrors(err, file.Close()) }()
	_, err = canvas.WriteTo(file)
	return errors.Wrapf(err, "write %s", path)
}
