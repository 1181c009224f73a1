package document

import "strings"

var pointerEscape = strings.NewReplacer("~", "~0", "/", "~1")

// ChildPointer appends a token to a JSON pointer (RFC 6901) and escapes it.
func ChildPointer(pointer, token string) string {
	if !strings.ContainsAny(token, "~/") {
		return pointer + "/" + token
	}
	return pointer + "/" + pointerEscape.Replace(token)
}

// newPointer returns the JSON pointer that consists of the tokens.
func newPointer(tokens []string) string {
	pointer := ""
	for _, token := range tokens {
		pointer = ChildPointer(pointer, token)
	}
	return pointer
}

var pointerUnescape = strings.NewReplacer("~1", "/", "~0", "~")

// SetsValueAt reports whether the tree, applied as a merge patch, determines the value at the pointer: it
// contains the value, or one of the parents of the value is null or anything else that is not an object.
func SetsValueAt(tree any, pointer string) bool {
	if pointer == "" {
		return true
	}
	for token := range strings.SplitSeq(pointer[1:], "/") {
		object, ok := tree.(map[string]any)
		if !ok {
			return true
		}
		if tree, ok = object[pointerUnescape.Replace(token)]; !ok {
			return false
		}
	}
	return true
}

// ParentPointer returns the pointer without its last token.
func ParentPointer(pointer string) string {
	return pointer[:max(0, strings.LastIndexByte(pointer, '/'))]
}

// PointersOverlap reports whether the pointers are equal or one points to an ancestor of the other's value.
func PointersOverlap(a, b string) bool {
	if len(a) > len(b) {
		a, b = b, a
	}
	return strings.HasPrefix(b, a) && (len(a) == len(b) || b[len(a)] == '/')
}
