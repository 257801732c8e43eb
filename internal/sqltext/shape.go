package sqltext

// The parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

type shapeHash uint64

func (h *shapeHash) add(text string) {
	v := uint64(*h)
	for i := range len(text) {
		v = (v ^ uint64(text[i])) * fnvPrime
	}
	// Hash a zero byte to separate the tokens.
	*h = shapeHash(v * fnvPrime)
}

// shapeOf returns the shape of a statement: a hash of its tokens in which
// each literal or parameter is replaced by a placeholder. Comments and white
// space do not count. A list of literals counts as one literal, so that the
// number of values does not matter.
func shapeOf(tokens []token) uint64 {
	h := shapeHash(fnvOffset)
	literal, comma := false, false
	for _, t := range tokens {
		switch {
		case t.kind == tokenString || t.kind == tokenNumber || t.kind == tokenParam:
			if literal && comma {
				comma = false
				continue
			}
			literal, comma = true, false
			h.add("?")
			continue
		case t.isPunct(",") && literal && !comma:
			comma = true
			continue
		}
		if comma {
			h.add(",")
		}
		literal, comma = false, false
		if t.kind == tokenQuoted {
			h.add(`"`)
		}
		h.add(t.text)
	}
	return uint64(h)
}
