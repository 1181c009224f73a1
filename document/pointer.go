package document

import "strings"

var pointerEscape = strings.NewReplacer("~", "~0", "/", "~1")

// Child extends a JSON pointer (RFC 6901) by one token.
func Child(pointer, token string) string {
	if !strings.ContainsAny(token, "~/") {
		return pointer + "/" + token
	}
	return pointer + "/" + pointerEscape.Replace(token)
}

// pointerOf returns the JSON pointer of the tokens.
func pointerOf(tokens []string) string {
	pointer := ""
	for _, token := range tokens {
		pointer = Child(pointer, token)
	}
	return pointer
}

var pointerUnescape = strings.NewReplacer("~1", "/", "~0", "~")

// Sets reports whether the tree sets the value at the pointer: directly, or by a null or another
// value that is not an object in place of one of its parents.
func Sets(tree any, pointer string) bool {
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

// Parent returns the pointer without its last token.
func Parent(pointer string) string {
	return pointer[:max(0, strings.LastIndexByte(pointer, '/'))]
}

// Overlap reports whether the pointers are equal or one is a parent of the other.
func Overlap(a, b string) bool {
	if len(a) > len(b) {
		a, b = b, a
	}
	return strings.HasPrefix(b, a) && (len(a) == len(b) || b[len(a)] == '/')
}
