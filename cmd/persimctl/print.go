package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// columnPadding is the number of spaces between the columns of a table.
const columnPadding = 2

// printer writes results as text or as JSON.
type printer struct {
	out  io.Writer
	json bool
}

func newPrinter(cmd *cli.Command) (printer, error) {
	switch cmd.String("output") {
	case "text":
		return printer{out: cmd.Root().Writer}, nil
	case "json":
		return printer{out: cmd.Root().Writer, json: true}, nil
	default:
		return printer{}, usageError("--output must be text or json")
	}
}

// print writes the message as JSON, or as text by calling writeText.
func (p printer) print(m proto.Message, writeText func(io.Writer)) error {
	if !p.json {
		writeText(p.out)
		return nil
	}
	data, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = fmt.Fprintln(p.out, string(data))
	return trace.Wrap(err)
}

// writeTable writes rows in aligned columns.
func writeTable(out io.Writer, rows [][]string) {
	w := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	for _, row := range rows {
		for _, cell := range row {
			_, _ = fmt.Fprintf(w, "%s\t", cell)
		}
		_, _ = fmt.Fprintln(w)
	}
	_ = w.Flush()
}
