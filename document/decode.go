// Package document decodes hand-written JSON files and validates them against a JSON schema. It reports
// all faults of a file together, each with the JSON pointer of the value.
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
	// MaxBytes limits the size of a file, so that one publish cannot fill the log or the memory of entries.
	MaxBytes = 1 << 20
	// maxDepth limits the nesting depth. Settings have five levels.
	maxDepth = 32
	// maxNumberBytes limits the length of a number literal. The largest number in the schema has 13 digits.
	maxNumberBytes = 32
)

// decoder decodes a JSON file into a tree of values. It also reports what encoding/json accepts without an
// error: duplicate keys, and numbers with an exponent, which take much memory when they are compared
// exactly.
type decoder struct {
	tokens *json.Decoder
	faults []Fault
}

// Fault is one error in a file.
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

// Decode decodes a JSON object into a tree of maps, slices, strings, bools and nil, with numbers as
// json.Number in their shortest form. If there are faults, the tree must not be used.
func Decode(data []byte) (map[string]any, []Fault) {
	if len(data) > MaxBytes {
		return nil, []Fault{{Reason: "is larger than " + strconv.Itoa(MaxBytes) + " bytes"}}
	}
	d := &decoder{tokens: json.NewDecoder(bytes.NewReader(data))}
	d.tokens.UseNumber()
	value, err := d.decodeValue("", 0)
	if err == nil {
		err = d.expectEnd()
	}
	if err != nil {
		d.addFault("", d.describeError(err))
		return nil, d.faults
	}
	tree, ok := value.(map[string]any)
	if !ok {
		d.addFault("", "must be an object")
		return nil, d.faults
	}
	return tree, d.faults
}

func (d *decoder) addFault(pointer, reason string) {
	d.faults = append(d.faults, Fault{Pointer: pointer, Reason: reason})
}

func (d *decoder) describeError(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "is not valid JSON: unexpected end of file"
	}
	return "is not valid JSON: " + err.Error() + " (byte " + strconv.FormatInt(d.tokens.InputOffset(), 10) + ")"
}

// expectEnd returns an error unless only white space is left.
func (d *decoder) expectEnd() error {
	_, err := d.tokens.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return err
	}
	return &syntaxError{reason: "data after the end of the value"}
}

func (d *decoder) decodeValue(pointer string, depth int) (any, error) {
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
			return d.decodeObject(pointer, depth)
		}
		return d.decodeArray(pointer, depth)
	case json.Number:
		return d.normalizeNumber(pointer, token.String()), nil
	default:
		return token, nil
	}
}

// normalizeNumber returns the shortest form of a number literal, so that 8.0 becomes the integer 8 and equal
// numbers have equal encodings. It rejects literals that are expensive to compare exactly.
func (d *decoder) normalizeNumber(pointer, literal string) json.Number {
	if len(literal) > maxNumberBytes || strings.ContainsAny(literal, "eE") {
		d.addFault(pointer, "number must be written with at most "+strconv.Itoa(maxNumberBytes)+" characters and without an exponent")
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

func (d *decoder) decodeObject(pointer string, depth int) (any, error) {
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
		child := ChildPointer(pointer, key)
		if _, repeated := object[key]; repeated {
			d.addFault(child, "key is repeated")
		}
		if object[key], err = d.decodeValue(child, depth+1); err != nil {
			return nil, err
		}
	}
	_, err := d.tokens.Token()
	return object, err
}

func (d *decoder) decodeArray(pointer string, depth int) (any, error) {
	array := []any{}
	for d.tokens.More() {
		value, err := d.decodeValue(ChildPointer(pointer, strconv.Itoa(len(array))), depth+1)
		if err != nil {
			return nil, err
		}
		array = append(array, value)
	}
	_, err := d.tokens.Token()
	return array, err
}

// syntaxError is a JSON syntax error that encoding/json does not report.
type syntaxError struct {
	reason string
}

func (e *syntaxError) Error() string { return e.reason }
