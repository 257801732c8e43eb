package sqltext

import "hash/fnv"

// shapeOf returns a hash of the statement without literals, parameters,
// comments and white space. Lists of literals count as one literal, so that
// the number of values does not matter.
func shapeOf(tokens []token) uint64 {
	h := fnv.New64a()
	literal, comma := false, false
	for _, t := range tokens {
		text := t.text
		switch {
		case t.kind == tokenString || t.kind == tokenNumber || t.kind == tokenParam:
			if literal && comma {
				comma = false
				continue
			}
			literal, comma = true, false
			h.Write([]byte("?\x00"))
			continue
		case t.punct(",") && literal && !comma:
			comma = true
			continue
		case t.kind == tokenQuoted:
			text = `"` + text
		}
		if comma {
			h.Write([]byte(",\x00"))
		}
		literal, comma = false, false
		h.Write([]byte(text))
		h.Write([]byte{0})
	}
	return h.Sum64()
}
