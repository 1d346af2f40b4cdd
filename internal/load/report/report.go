// Package report writes results of the emulator as a table or as a plot.
package report

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/wcharczuk/go-chart/v2"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/load/emulator"
)

// Run is a named result.
type Run struct {
	Name   string
	Result *emulator.Result
}

// Table writes a text table with a line for each class and each service of each run. The
// percentiles of all requests count those without a successful response as slower than any
// other.
func Table(w io.Writer, runs []Run) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "run\tclass\tasked\tin objective\tlate\tunserved\tretries\trefusals\tp50\tp99\tp99 of all\tp99.9 of all\thedges\twon\tworth\t")
	for _, r := range runs {
		for _, name := range r.Result.ClassNames() {
			o, deadline := r.Result.Classes[name], r.Result.Deadline(name)
			fmt.Fprintf(t, "%s\t%s\t%d\t%.3f\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%.3f\t\n", r.Name, name, o.Requests, o.InObjective(), o.Late,
				o.Unserved, o.Retries, o.Refused, o.Percentile(0.5).Round(precision), o.Percentile(0.99).Round(precision), o.PercentileOfAll(0.99, deadline).Round(precision), o.PercentileOfAll(0.999, deadline).Round(precision), o.Hedges, o.Won, r.Result.Worth())
		}
	}
	fmt.Fprintln(t, "\nrun\tservice\truns\tfailed\tbusiest/mean\t")
	for _, r := range runs {
		for _, name := range slices.Sorted(maps.Keys(r.Result.Services)) {
			s := r.Result.Services[name]
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.2f\t\n", r.Name, name, s.Runs, s.Failed, s.Busiest())
		}
	}
	writeWorkspaces(t, runs)
	if err := t.Flush(); err != nil {
		return gd.Unavailable.Wrapf(err, "table")
	}
	return nil
}

// writeWorkspaces writes how many requests were served during bursts of single workspaces:
// those of the workspaces with the most requests, of all others and of the one of these
// that was served least.
func writeWorkspaces(w io.Writer, runs []Run) {
	fmt.Fprintln(w, "\nrun\tworkspace\tasked\tserved\t")
	for _, r := range runs {
		all := r.Result.Workspaces
		numbers := slices.SortedFunc(maps.Keys(all), func(a, b int) int {
			return cmp.Or(cmp.Compare(all[b].Requests, all[a].Requests), cmp.Compare(a, b))
		})
		others, least := emulator.Served{}, emulator.Served{}
		for i, n := range numbers {
			s := *all[n]
			if i < mostAsked {
				fmt.Fprintf(w, "%s\t%d\t%d\t%.3f\t\n", r.Name, n, s.Requests, s.Ratio())
				continue
			}
			others.Requests, others.Served = others.Requests+s.Requests, others.Served+s.Served
			if s.Ratio() < least.Ratio() {
				least = s
			}
		}
		if len(numbers) > mostAsked {
			fmt.Fprintf(w, "%s\tothers\t%d\t%.3f\t\n", r.Name, others.Requests, others.Ratio())
			fmt.Fprintf(w, "%s\tleast of them\t%d\t%.3f\t\n", r.Name, least.Requests, least.Ratio())
		}
	}
}

// mostAsked is the number of workspaces that get a line each.
const mostAsked = 4

// precision is the rounding unit of the times in a table.
const precision = 100_000 // nanoseconds

// Size of the plot in pixels.
const (
	plotWidth  = 900
	plotHeight = 400
)

// Plot writes an SVG with the fraction of the clients' requests that were served
// within their objective, for each second.
func Plot(w io.Writer, runs []Run) error {
	graph := chart.Chart{
		Width: plotWidth, Height: plotHeight,
		XAxis: chart.XAxis{Name: "second"},
		YAxis: chart.YAxis{Name: "share in objective", Range: &chart.ContinuousRange{Min: 0, Max: 1}},
	}
	for _, r := range runs {
		line := chart.ContinuousSeries{Name: r.Name}
		for i, s := range r.Result.Seconds {
			if s.Requests == 0 {
				continue
			}
			line.XValues = append(line.XValues, float64(i))
			line.YValues = append(line.YValues, float64(s.InTime)/float64(s.Requests))
		}
		graph.Series = append(graph.Series, line)
	}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	if err := graph.Render(chart.SVG, w); err != nil {
		return gd.Invalid.Wrapf(err, "plot")
	}
	return nil
}
