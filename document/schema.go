package document

import (
	"bytes"
	"errors"
	"fmt"
	"math/big"
	"slices"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

// Schema is a compiled JSON schema.
type Schema struct {
	compiled *jsonschema.Schema
}

// schemaURL identifies the schema within the compiler; nothing is loaded from it.
const schemaURL = "schema.json"

// MustCompile compiles a schema that is part of the program and panics if the schema is invalid. A schema
// must not use propertyNames: the locations that the library reports for this keyword are overwritten later
// in the same validation.
func MustCompile(text []byte) *Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, document); err != nil {
		panic(err)
	}
	return &Schema{compiled: compiler.MustCompile(schemaURL)}
}

// Validate returns the faults of a decoded tree.
func (s *Schema) Validate(tree map[string]any) []Fault {
	err := s.compiled.Validate(tree)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return []Fault{{Reason: err.Error()}}
	}
	return appendInnermostFaults(invalid, nil)
}

// appendInnermostFaults appends the faults for the innermost causes of a validation error.
func appendInnermostFaults(e *jsonschema.ValidationError, found []Fault) []Fault {
	pointer := newPointer(e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, key := range k.Properties {
			found = append(found, Fault{Pointer: ChildPointer(pointer, key), Reason: "unknown key"})
		}
		return found
	case *kind.Required:
		for _, key := range k.Missing {
			found = append(found, Fault{Pointer: ChildPointer(pointer, key), Reason: "is missing", MissingKey: true})
		}
		return found
	}
	if len(e.Causes) == 0 {
		return append(found, Fault{Pointer: pointer, Reason: describeError(e.ErrorKind)})
	}
	for _, cause := range e.Causes {
		found = appendInnermostFaults(cause, found)
	}
	return found
}

// describeError returns the text for a validation error. It covers the kinds of errors that the schemas of
// this program can produce.
func describeError(k jsonschema.ErrorKind) string {
	switch k := k.(type) {
	case *kind.Type:
		return "is of type " + k.Got + ", must be " + strings.Join(k.Want, " or ")
	case *kind.Minimum:
		return "is " + formatNumber(k.Got) + ", must be at least " + formatNumber(k.Want)
	case *kind.Maximum:
		return "is " + formatNumber(k.Got) + ", must be at most " + formatNumber(k.Want)
	case *kind.MinLength:
		return "is too short, must have at least " + strconv.Itoa(k.Want) + " characters"
	case *kind.MaxLength:
		return "is too long, must have at most " + strconv.Itoa(k.Want) + " characters"
	case *kind.Pattern:
		return "is " + strconv.Quote(k.Got) + ", must match " + k.Want
	case *kind.Enum:
		values := make([]string, len(k.Want))
		for i, value := range k.Want {
			values[i] = fmt.Sprint(value)
		}
		slices.Sort(values)
		return fmt.Sprintf("is %q, must be one of %s", fmt.Sprint(k.Got), strings.Join(values, ", "))
	}
	return "does not match the schema at " + newPointer(k.KeywordPath())
}

func formatNumber(r *big.Rat) string {
	float, _ := r.Float64()
	return strconv.FormatFloat(float, 'f', -1, 64)
}
