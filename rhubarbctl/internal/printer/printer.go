// Package printer writes tables: aligned with a heading for terminals, tab-separated without one for pipes, and as JSON
// with the fields that the user names.
//
// # Usage
//
//	table := printer.Table{Fields: []string{"name", "version"}, Rows: [][]any{{"east", 7}}}
//	err := options.Format.Print(streams, table)
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"unicode"
)

// AllFields is the value of --json that names all fields.
const AllFields = "all"

// columnGap is the number of spaces between two columns on a terminal.
const columnGap = 2

// Streams are the standard streams of a command.
type Streams struct {
	In          io.Reader
	Out         io.Writer
	Err         io.Writer
	InTerminal  bool // In is a terminal, so questions can be asked
	OutTerminal bool // Out is a terminal, so output is aligned
}

// System returns the streams of the process.
func System() *Streams {
	return &Streams{
		In:          os.Stdin,
		Out:         os.Stdout,
		Err:         os.Stderr,
		InTerminal:  isTerminal(os.Stdin),
		OutTerminal: isTerminal(os.Stdout),
	}
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	// UnknownField means that --json names a field that the command lacks.
	UnknownField Kind = iota + 1
	// WriteFailed means that the output could not be written.
	WriteFailed
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Format holds the output options of a command.
type Format struct {
	JSON string `long:"json" value-name:"FIELDS" description:"Print JSON with these comma-separated fields, 'all' for all"`
}

// Table is the output of a command. Every row has one value per field.
type Table struct {
	Fields []string // kebab case
	Rows   [][]any
	Single bool // the JSON form is one object instead of a list
}

// Print writes the table to the output stream. Its error is an *Error.
func (f Format) Print(streams *Streams, table Table) error {
	var err error
	switch {
	case f.JSON != "":
		return printJSON(streams.Out, table, f.JSON)
	case streams.OutTerminal:
		err = printAligned(streams.Out, table)
	default:
		err = printSeparated(streams.Out, table)
	}
	if err != nil {
		return &Error{Op: "print", Kind: WriteFailed, Err: err}
	}
	return nil
}

func printAligned(out io.Writer, table Table) error {
	writer := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	heading := strings.ToUpper(strings.Join(table.Fields, "\t"))
	if _, err := fmt.Fprintln(writer, strings.ReplaceAll(heading, "-", " ")); err != nil {
		return err
	}
	if err := printSeparated(writer, table); err != nil {
		return err
	}
	return writer.Flush()
}

func printSeparated(out io.Writer, table Table) error {
	for _, row := range table.Rows {
		var cells []string
		for _, value := range row {
			cells = append(cells, Cell(value))
		}
		if _, err := fmt.Fprintln(out, strings.Join(cells, "\t")); err != nil {
			return err
		}
	}
	return nil
}

// Cell returns the text form of a value. Control characters are replaced, because keys and messages come from others and
// could send commands to a terminal or break a line apart.
func Cell(value any) string {
	text := fmt.Sprint(value)
	if list, ok := value.([]string); ok {
		text = strings.Join(list, ",")
	}
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return '?'
		}
		return r
	}, text)
}

func printJSON(out io.Writer, table Table, names string) error {
	selected, err := selectFields(table.Fields, names)
	if err != nil {
		return err
	}
	objects := []map[string]any{}
	for _, row := range table.Rows {
		object := map[string]any{}
		for _, index := range selected {
			object[table.Fields[index]] = row[index]
		}
		objects = append(objects, object)
	}
	var document any = objects
	if table.Single && len(objects) == 1 {
		document = objects[0]
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(document); err != nil {
		return &Error{Op: "print", Kind: WriteFailed, Err: err}
	}
	return nil
}

func selectFields(fields []string, names string) ([]int, error) {
	if names == AllFields {
		names = strings.Join(fields, ",")
	}
	var selected []int
	for _, name := range strings.Split(names, ",") {
		index := slices.Index(fields, name)
		if index < 0 {
			err := fmt.Errorf("unknown field %q, the fields are %s", name, strings.Join(fields, ","))
			return nil, &Error{Op: "json", Kind: UnknownField, Err: err}
		}
		selected = append(selected, index)
	}
	return selected, nil
}
