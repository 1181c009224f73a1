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

// schemaURL names the schema within its compiler; nothing is loaded from it.
const schemaURL = "schema.json"

// MustCompile compiles a schema that is part of the program, and panics if it is faulty. A schema must
// not use propertyNames: the library then reports locations that change while it goes on validating.
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

// Validate returns what is wrong with a decoded tree.
func (s *Schema) Validate(tree map[string]any) []Fault {
	err := s.compiled.Validate(tree)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return []Fault{{Reason: err.Error()}}
	}
	return leaves(invalid, nil)
}

// leaves appends the faults of the innermost causes of an error.
func leaves(e *jsonschema.ValidationError, found []Fault) []Fault {
	pointer := pointerOf(e.InstanceLocation)
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
		return append(found, Fault{Pointer: pointer, Reason: describe(e.ErrorKind)})
	}
	for _, cause := range e.Causes {
		found = leaves(cause, found)
	}
	return found
}

// describe words the kinds of errors that the schema can produce.
func describe(k jsonschema.ErrorKind) string {
	switch k := k.(type) {
	case *kind.Type:
		return "is of type " + k.Got + ", must be " + strings.Join(k.Want, " or ")
	case *kind.Minimum:
		return "is " + number(k.Got) + ", must be at least " + number(k.Want)
	case *kind.Maximum:
		return "is " + number(k.Got) + ", must be at most " + number(k.Want)
	case *kind.MinLength:
		return "is too short, must have at least " + strconv.Itoa(k.Want) + " characters"
	case *kind.MaxLength:
		return "is too long, must have at most " + strconv.Itoa(k.Want) + " characters"
	case *kind.Pattern:
		return "is " + strconv.Quote(k.Got) + ", must match " + k.Want
	case *kind.Enum:
		words := make([]string, len(k.Want))
		for i, word := range k.Want {
			words[i] = fmt.Sprint(word)
		}
		slices.Sort(words)
		return fmt.Sprintf("is %q, must be one of %s", fmt.Sprint(k.Got), strings.Join(words, ", "))
	}
	return "does not match the schema at " + pointerOf(k.KeywordPath())
}

func number(r *big.Rat) string {
	float, _ := r.Float64()
	return strconv.FormatFloat(float, 'f', -1, 64)
}
