// Package document decodes JSON files that people write and checks them against a schema. It reports
// every fault at once, each with the JSON pointer of the value.
package document

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
)

const (
	// MaxBytes bounds a file, so that one publish cannot fill the log or the memory of entries.
	MaxBytes = 1 << 20
	// maxDepth bounds nesting. Settings nest five levels deep.
	maxDepth = 32
	// maxNumberBytes bounds a number literal. The largest number of the schema has 13 digits.
	maxNumberBytes = 32
)

// decoder reads a JSON file into a tree of values and collects what encoding/json accepts silently:
// repeated keys, and numbers with an exponent, which become very large when compared exactly.
type decoder struct {
	tokens *json.Decoder
	faults []Fault
}

// Fault is one thing that is wrong with a file.
type Fault struct {
	// Pointer is the JSON pointer of the value; it is empty for the whole file.
	Pointer string
	Reason  string
	// MissingKey is set if a required key is missing.
	MissingKey bool
}

// SortFaults sorts faults by pointer and reason.
func SortFaults(faults []Fault) {
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Pointer, b.Pointer), cmp.Compare(a.Reason, b.Reason))
	})
}

// Decode returns the tree of a JSON object: maps, slices, strings, bools, nil, and numbers as
// json.Number in their shortest form. The tree is not usable if there are faults.
func Decode(data []byte) (map[string]any, []Fault) {
	if len(data) > MaxBytes {
		return nil, []Fault{{Reason: "is larger than " + strconv.Itoa(MaxBytes) + " bytes"}}
	}
	d := &decoder{tokens: json.NewDecoder(bytes.NewReader(data))}
	d.tokens.UseNumber()
	value, err := d.value("", 0)
	if err == nil {
		err = d.end()
	}
	if err != nil {
		d.fault("", d.describe(err))
		return nil, d.faults
	}
	tree, ok := value.(map[string]any)
	if !ok {
		d.fault("", "must be an object")
		return nil, d.faults
	}
	return tree, d.faults
}

func (d *decoder) fault(pointer, reason string) {
	d.faults = append(d.faults, Fault{Pointer: pointer, Reason: reason})
}

func (d *decoder) describe(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "is not valid JSON: unexpected end of file"
	}
	return "is not valid JSON: " + err.Error() + " (byte " + strconv.FormatInt(d.tokens.InputOffset(), 10) + ")"
}

// end fails unless only white space is left.
func (d *decoder) end() error {
	_, err := d.tokens.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return err
	}
	return &syntaxError{reason: "data after the end of the value"}
}

func (d *decoder) value(pointer string, depth int) (any, error) {
	token, err := d.tokens.Token()
	if err != nil {
		return nil, err
	}
	switch token := token.(type) {
	case json.Delim:
		if depth >= maxDepth {
			return nil, &syntaxError{reason: "nested deeper than " + strconv.Itoa(maxDepth) + " levels"}
		}
		if token == '{' {
			return d.object(pointer, depth)
		}
		return d.array(pointer, depth)
	case json.Number:
		return d.number(pointer, token.String()), nil
	default:
		return token, nil
	}
}

// number returns the shortest form of a literal, so that 8.0 is the integer 8 and equal values have
// equal encodings. It refuses literals that are costly to compare exactly.
func (d *decoder) number(pointer, literal string) json.Number {
	if len(literal) > maxNumberBytes || strings.ContainsAny(literal, "eE") {
		d.fault(pointer, "number must be written with at most "+strconv.Itoa(maxNumberBytes)+" characters and without an exponent")
		return "0"
	}
	if strings.Contains(literal, ".") {
		literal = strings.TrimRight(literal, "0")
		literal = strings.TrimSuffix(literal, ".")
	}
	if literal == "-0" {
		literal = "0"
	}
	return json.Number(literal)
}

func (d *decoder) object(pointer string, depth int) (any, error) {
	object := map[string]any{}
	for d.tokens.More() {
		token, err := d.tokens.Token()
		if err != nil {
			return nil, err
		}
		key, ok := token.(string)
		if !ok {
			return nil, &syntaxError{reason: "object key is not a string"}
		}
		at := ChildPointer(pointer, key)
		if _, repeated := object[key]; repeated {
			d.fault(at, "key is repeated")
		}
		if object[key], err = d.value(at, depth+1); err != nil {
			return nil, err
		}
	}
	_, err := d.tokens.Token()
	return object, err
}

func (d *decoder) array(pointer string, depth int) (any, error) {
	array := []any{}
	for d.tokens.More() {
		value, err := d.value(ChildPointer(pointer, strconv.Itoa(len(array))), depth+1)
		if err != nil {
			return nil, err
		}
		array = append(array, value)
	}
	_, err := d.tokens.Token()
	return array, err
}

// syntaxError is a fault of JSON syntax that encoding/json does not report itself.
type syntaxError struct {
	reason string
}

func (e *syntaxError) Error() string { return e.reason }
