package main

import (
	"github.com/spf13/cobra"

	"github.com/slaterock/slaterock/internal/obs/recap"
)

const defaultRows = 20

func explainCommand() *cobra.Command {
	var a recap.Args
	c := &cobra.Command{
		Use:   "explain LOG...",
		Short: "Sum up the request lines of fronts: how programs ended, and where the time went",
		Long: "Sum up the request lines of the fronts' logs (- is the standard input): which programs\n" +
			"ended in time, late, refused or failed, why, and where the time of those went that were\n" +
			"not in time. Each log must be sorted by time in itself; the order of the logs does not\n" +
			"matter.",
		RunE: func(c *cobra.Command, args []string) error {
			a.Paths, a.Stdin = args, c.InOrStdin()
			return recap.Run(c.Context(), c.OutOrStdout(), a)
		},
	}
	f := c.Flags()
	f.StringSliceVar(&a.By, "by", recap.Dimensions, "tables to show")
	f.IntVar(&a.Top, "top", defaultRows, "rows of each table, those with the most programs not in time; 0 for all")
	f.DurationVar(&a.Idle, "idle", recap.DefaultIdle, "for how long a program that has ended is silent")
	f.BoolVar(&a.JSON, "json", false, "write the report as JSON")
	f.StringVar(&a.SVG, "svg", "", "write a chart over seconds to this file")
	return c
}
